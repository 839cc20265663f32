"""Bytes to messages, for whoever speaks to servers. No I/O."""
