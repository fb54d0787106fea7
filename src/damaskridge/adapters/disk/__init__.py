"""Durable, checksummed files of a member of the control group."""
