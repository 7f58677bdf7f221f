"""Roles of a VM; each module registers the class that builds its parts."""
