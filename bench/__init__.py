"""Benchmarks; each module runs with `python -m bench.<module>`."""
