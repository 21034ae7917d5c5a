"""Case 2 of the review."""
