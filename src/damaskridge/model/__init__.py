"""Data classes, error kinds and event numbers; imports nothing of the project."""
