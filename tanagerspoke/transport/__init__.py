"""Sockets, servers and clients around the decisions."""
