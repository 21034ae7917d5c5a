"""The program `tanagerspokectl`."""

import cyclopts

import tanagerspoke
from tanagerspoke.commands import apply
from tanagerspoke.commands import diff
from tanagerspoke.commands import drain
from tanagerspoke.commands import explain
from tanagerspoke.commands import status
from tanagerspoke.commands import validate
from tanagerspoke.commands import where

app = cyclopts.App(name="tanagerspokectl", version=tanagerspoke.__version__)
app.command(validate.validate)
app.command(diff.diff)
app.command(apply.apply)
app.command(status.status)
app.command(drain.drain)
app.command(where.where)
app.command(explain.explain)


def main() -> None:
    """Entry point."""
    app()
