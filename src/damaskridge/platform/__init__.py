"""Adapter for the platform on which the fleet is deployed.

Translates the headers, documents, settings and HTTP calls of the platform to and from
the types of this project. Only this package uses the platform's names.
"""
