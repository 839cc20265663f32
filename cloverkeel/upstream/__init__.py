"""Connections to hosts, attempts over them and their outcomes. Knows no frontend."""
