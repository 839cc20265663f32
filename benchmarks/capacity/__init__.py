"""Capacity: how costs grow, and at which share of the plan's size each limit is exceeded (docs/CAPACITY.md)."""
