"""Commands of the command line; each module registers its own."""
