"""The gateway's core: event handling, calls, configuration and the clock; independent of frontends and upstream."""
