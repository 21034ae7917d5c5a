"""HTTP server side: callers' connections, requests and responses."""
