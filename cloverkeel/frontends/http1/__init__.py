"""The HTTP/1.1 frontend."""
