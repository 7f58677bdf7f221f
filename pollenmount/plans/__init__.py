"""Serving plans: sheet, acceptance and spread."""
