"""The users' platform: its names, formats and calls, decoded into our own types."""
