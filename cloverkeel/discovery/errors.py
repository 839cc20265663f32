"""Errors that this package raises."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of what goes wrong between this process and a source of endpoints."""


class DiscoveryCallError(DiscoveryError):
    """A call to discovery, or to a relay, has failed; the message says how."""


class NodeDataError(DiscoveryError, ValueError):
    """The data of a backend's node cannot be used; the message names the field and what was expected."""
