"""Serving plans: the sheet format, acceptance and the plan in force."""
