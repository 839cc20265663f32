"""A gateway that spreads HTTP requests over hosts, and the pure load-balancing decisions behind it."""
