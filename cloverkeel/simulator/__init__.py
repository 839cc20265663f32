"""Adapter that runs the balancing decisions over the simulator's line protocol."""
