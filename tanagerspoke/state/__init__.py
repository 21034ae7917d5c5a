"""State and stored rows: configuration, routes, loads, hosts and claims."""
