"""Rate limits of workspaces."""
