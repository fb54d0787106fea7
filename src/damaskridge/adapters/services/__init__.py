"""Clients of plain services."""
