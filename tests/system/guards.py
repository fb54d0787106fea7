"""Switches guards of the product off by name, by replacing them for a test."""

NAMES = frozenset()


def disabled(name):
    raise KeyError(name)
