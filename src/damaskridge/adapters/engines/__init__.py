"""Clients of model engines."""
