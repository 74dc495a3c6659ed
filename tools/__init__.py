"""Tools of the project: the distribution build and the measurements."""
