"""Queueing, admission control and placement of requests within one cell."""
