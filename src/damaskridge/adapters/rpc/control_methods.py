"""Paths of the control service's methods and keys of their metadata."""

__all__ = ["FOLLOW_PATH", "OPERATOR_KEY", "PROPOSE_PATH", "STATUS_PATH"]

PROPOSE_PATH = "/damaskridge.Control/Propose"
FOLLOW_PATH = "/damaskridge.Control/Follow"
STATUS_PATH = "/damaskridge.Control/Status"
OPERATOR_KEY = "operator-key"
