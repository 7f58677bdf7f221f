"""Targets of this failure domain: their announcements and HTTP connections to them."""
