"""Connections to hosts, attempts sent over them and their outcomes. Independent of the frontends."""
