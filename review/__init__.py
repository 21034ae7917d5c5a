"""Independent review: cases that break a rule, and their report."""
