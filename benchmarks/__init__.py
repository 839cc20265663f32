"""Long measurements: tools, no tests."""
