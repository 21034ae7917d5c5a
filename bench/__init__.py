"""Benchmarks; each module runs as `python -m bench.<name>`."""
