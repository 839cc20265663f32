"""Connections to hosts, attempts and their outcomes. Knows no front."""
