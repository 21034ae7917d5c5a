"""Decisions as sans-I/O state machines."""
