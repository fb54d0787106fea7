"""The gateway, which forwards callers' requests to backend servers."""
