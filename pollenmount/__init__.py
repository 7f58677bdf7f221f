"""Inference gateway for multiple regions.

The package can be used as a library; `pollenmount.cmdline` is its command line.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
