"""Decides on which engine a request runs."""
