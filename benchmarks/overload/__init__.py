"""Effect of an overload on a fleet: the load is raised in steps; hosts and clients record the outcome."""
