"""Control-plane relay: asks discovery as one caller and tells each gateway its subset (docs/relay-design.md)."""
