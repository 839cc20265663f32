"""One Gateway: events in, actions out; calls, configuration, the clock. Knows no front and no host."""
