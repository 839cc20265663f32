"""Leases: what one gateway at most does at a time. docs/duties-design.md; imported only where it is on."""
