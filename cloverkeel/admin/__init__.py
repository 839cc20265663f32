"""The admin address: operators' commands and process replacement. Imported only if an admin address is configured."""
