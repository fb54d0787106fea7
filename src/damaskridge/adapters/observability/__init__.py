"""The event log and metrics."""
