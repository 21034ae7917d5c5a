"""Metrics, logging, health checks and the graceful stop of a process."""
