"""Golden bytes: everything that leaves a process or outlives one, byte for byte as it was first written."""
