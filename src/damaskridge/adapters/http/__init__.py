"""The HTTP interface for callers and operators, as plain ASGI applications."""
