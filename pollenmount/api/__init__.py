"""HTTP interfaces of a node, one module for each kind of client."""
