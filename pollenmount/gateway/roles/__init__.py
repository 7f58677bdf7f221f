"""Roles of a VM, one per module, which registers the class that builds its parts."""
