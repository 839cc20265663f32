"""The second address: calls of staff, and replacing the process. Imported only where `ops` is set."""
