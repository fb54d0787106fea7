"""Forwards callers' requests to backend servers."""
