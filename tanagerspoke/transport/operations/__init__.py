"""Metrics, logs and the planned stop."""
