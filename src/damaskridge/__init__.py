"""A router for separate prefill and decode pools."""

__all__ = ["__version__"]

__version__ = "0.1.0"
