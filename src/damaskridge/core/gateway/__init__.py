"""Decisions about forwarded requests: routes, limits, placement, retries."""
