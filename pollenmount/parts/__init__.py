"""Parts of a node; each module registers functions that build them."""
