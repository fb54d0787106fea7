"""Messages, records, error kinds and event numbers shared by all other packages.

This package imports no other package of the project.
"""
