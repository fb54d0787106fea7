"""Decides which requests crash backend servers."""
