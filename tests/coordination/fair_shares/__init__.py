"""Tests of fair shares between client accounts."""
