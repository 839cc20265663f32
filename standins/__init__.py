"""Emulator of the systems around gateways: backends, registry, network, clients, gateway processes, and a checker.

In cloverkeel/ only the command `try` imports this package.
"""
