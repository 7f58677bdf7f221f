"""Parts of a node; each module registers the functions that build its parts."""
