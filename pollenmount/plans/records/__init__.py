"""Record types of a plan sheet, one per module."""
