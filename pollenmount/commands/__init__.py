"""Commands of the program, one a module."""
