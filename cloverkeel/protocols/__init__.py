"""Wire protocol parsers shared by the packages that connect to servers. No I/O."""
