"""Starts `tanagerspoke-edge`; see `tanagerspoke.commands.edge`."""

import signal


def main() -> None:
    """Entry point."""
    # Settings are read after the imports, so that a reload which is asked
    # for before needs no answer; by default the signal ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from tanagerspoke.commands import edge

    edge.app()


if __name__ == "__main__":
    main()
