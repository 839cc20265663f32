"""The control plane's relay: polls discovery as one client, and sends each gateway its subset."""
