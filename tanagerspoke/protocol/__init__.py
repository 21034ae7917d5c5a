"""Messages between processes and between the modules of one process."""
