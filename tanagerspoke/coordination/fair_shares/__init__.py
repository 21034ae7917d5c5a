"""Fair shares of short capacity between client accounts."""
