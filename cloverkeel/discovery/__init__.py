"""Endpoint sources: the registry, relays and ephemeral nodes. Imports no frontend and no upstream code."""
