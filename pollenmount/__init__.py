"""Inference gateway for multiple regions.

The package works as a library; `pollenmount.cmdline` is the thin shell over it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
