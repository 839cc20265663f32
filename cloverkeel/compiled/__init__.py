"""The mypyc build of the hot modules, and the choice between it and the plain sources at startup."""
