"""Scenarios, and the environments that they run in."""
