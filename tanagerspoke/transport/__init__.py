"""Servers, clients and services that perform the network I/O."""
