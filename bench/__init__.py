"""Benchmarks; see docs/measurements.md."""
