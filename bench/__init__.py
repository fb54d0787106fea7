"""Measures the decisions on simulated time against baselines and bounds."""
