"""Client protocols, one package each. They use the core and do not depend on upstream."""
