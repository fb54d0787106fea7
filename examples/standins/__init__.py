"""Stand-ins for the outside systems, for tests, benches and the demo."""
