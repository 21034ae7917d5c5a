"""Benchmarks of tanagerspoke."""
