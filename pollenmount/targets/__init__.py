"""Targets of this failure domain, as they announce themselves."""
