"""Stand-ins of the platform and of upstreams, for development and tests."""
