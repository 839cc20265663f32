"""Endpoint sources: who is there, from the registry, relays, or ephemeral nodes. Knows no frontend or upstream."""
