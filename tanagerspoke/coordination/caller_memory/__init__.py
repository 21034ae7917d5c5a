"""Decides which callers may hold memory of the process, and how much."""
