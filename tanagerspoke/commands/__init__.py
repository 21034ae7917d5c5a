"""Command-line programs and their subcommands."""
