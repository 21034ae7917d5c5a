"""HTTP client for upstreams, and dispatch of calls to them."""
