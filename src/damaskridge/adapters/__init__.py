"""I/O: HTTP, RPC, disk, metrics and the event log."""
