"""Explanations of where calls would go."""
