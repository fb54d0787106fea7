"""Event log and metrics of a process."""
