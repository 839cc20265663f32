"""The control plane's relay: polls the registry as a single client and serves each gateway its subset."""
