"""Validated settings of all programs."""
