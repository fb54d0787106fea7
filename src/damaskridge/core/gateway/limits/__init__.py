"""Decides what the rates of workspaces and the limits of servers admit."""
