"""Checked settings of every program."""
