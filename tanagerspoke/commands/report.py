"""The program `tanagerspoke-report`."""

import pathlib

import cyclopts

import tanagerspoke
from tanagerspoke.commands import program
from tanagerspoke.settings import options

app = cyclopts.App(name="tanagerspoke-report", version=tanagerspoke.__version__)


@app.default
def report(*, settings: pathlib.Path) -> None:
    """Reports service-level burn by client account and service.

    Args:
        settings: JSON settings file.
    """
    program.load_settings(path=settings, option_type=options.Report)


def main() -> None:
    """Entry point."""
    app()
