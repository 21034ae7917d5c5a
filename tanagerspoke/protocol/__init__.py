"""Messages between processes and between parts of one process."""
