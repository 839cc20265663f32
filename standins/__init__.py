"""Outside systems to play against: boxes, registry, network, clients, gateways by the dozen, and a checker.

Nothing in cloverkeel/ imports this package but the command `try`.
"""
