"""Leased roles: each is held by at most one gateway at a time (docs/duties-design.md).

The package is imported only if leases are enabled.
"""
