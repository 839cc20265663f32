"""The command line: which command runs, and the gateway's process."""
