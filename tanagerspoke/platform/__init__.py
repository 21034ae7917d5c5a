"""Adapter to the users' platform: only translates, decides nothing."""
