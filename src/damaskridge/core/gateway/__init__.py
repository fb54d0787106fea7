"""Decisions about forwarded requests: routing, limits, placement and retries."""
