"""Kinds of rows of a plan sheet, one a module."""
