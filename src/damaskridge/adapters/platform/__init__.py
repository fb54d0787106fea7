"""Clients of the platform: the list of hosts."""
