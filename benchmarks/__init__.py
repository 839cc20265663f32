"""Long-running measurements, which are not part of the test suite."""
