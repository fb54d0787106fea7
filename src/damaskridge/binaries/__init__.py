"""The programs: settings, wiring and signal handling."""
