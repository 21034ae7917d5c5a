"""Case 3 of the review."""
