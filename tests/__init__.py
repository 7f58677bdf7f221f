"""Tests of pollenmount."""
