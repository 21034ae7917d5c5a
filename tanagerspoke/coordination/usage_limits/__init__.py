"""Fleet-wide usage limits of client accounts."""
