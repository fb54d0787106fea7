"""The replicated control state and the entry hosts' view of it."""
