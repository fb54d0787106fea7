"""The list of live and leaving hosts."""
