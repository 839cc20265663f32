"""The admin address: operators' commands, and replacing the process. Imported only where there is such an address."""
