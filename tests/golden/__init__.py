"""Golden bytes: everything that a process sends, stores or prints, byte for byte as it was first written."""
