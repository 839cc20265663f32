"""What the gateways know together: who is there, and what hosts did to whom (docs/peers-design.md)."""
