"""The build of the hot modules with mypyc, and the choice between it and the plain sources at the start."""
