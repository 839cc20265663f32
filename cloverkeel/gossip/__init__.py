"""Gossip between gateways: failure detection, outlier reports and retry tokens (docs/peers-design.md)."""
