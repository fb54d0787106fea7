"""Programs that demonstrate the system."""
