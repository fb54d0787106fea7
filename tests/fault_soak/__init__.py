"""Randomised runs of the platform's programs as processes, with faults from outside.

``python -m tests.fault_soak --seeds N [--first-seed F] [--workers W]`` plays N seeds
and prints what was played and found. The exit status is 1 if a promise was broken.
"""
