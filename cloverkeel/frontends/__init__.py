"""Clients' protocols, one folder each. They know the core and nothing of hosts."""
