"""One module per program or subcommand."""
