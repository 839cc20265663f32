"""What grows, how it grows, and at which share of the plan's size each limit breaks (docs/CAPACITY.md)."""
