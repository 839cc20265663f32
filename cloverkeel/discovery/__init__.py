"""Who is there: sources of the list of hosts. Knows no front and carries nothing."""
