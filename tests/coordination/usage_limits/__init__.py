"""Tests of the fleet-wide usage limits."""
