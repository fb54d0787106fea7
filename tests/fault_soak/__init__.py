"""Randomised soak test: runs the platform's programs as processes under faults.

``python -m tests.fault_soak --seeds N [--first-seed F] [--workers W]`` runs N seeds
and prints the injected faults, the response statuses and the violated guarantees. The
exit status is 1 if a guarantee was violated.
"""
