"""Authentication of calls, and how recent the configuration is."""
