"""Order, admission and placement of requests within one cell."""
