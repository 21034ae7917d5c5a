"""Adapter to the users' platform; translates only, makes no decisions."""
