"""Case 5 of the review."""
