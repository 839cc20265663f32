"""The systems around a gateway: backends, registry, coordination service, clients, gateway processes and links."""
