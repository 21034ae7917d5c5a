"""What goes to the platform's store, and what comes from it."""
