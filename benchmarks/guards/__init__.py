"""Mutation tests: remove each guard in turn; a scenario or a test must detect it. `python -m benchmarks.guards`."""
