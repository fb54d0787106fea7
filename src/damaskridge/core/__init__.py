"""Deterministic decisions without I/O."""
