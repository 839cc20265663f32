"""The command line: command dispatch and the gateway process."""
