"""The callers' side: a plain ASGI application."""
