"""Bytes to messages, for every package that speaks to servers. No I/O."""
