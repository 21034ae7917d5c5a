"""What a process remembers: declarations, configuration, loads, claims."""
