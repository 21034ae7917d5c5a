"""Which nodes use cold upstreams, how often, and for how long."""
