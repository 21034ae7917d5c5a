"""The program `tanagerspokectl`."""

import cyclopts

import tanagerspoke
from tanagerspoke.commands import apply
from tanagerspoke.commands import validate

app = cyclopts.App(name="tanagerspokectl", version=tanagerspoke.__version__)
app.command(apply.apply)
app.command(validate.validate)


def main() -> None:
    """Entry point."""
    app()
