"""Tests of the codec and the adapter of the simulator's line protocol."""
