"""Programs that show the system at work."""
