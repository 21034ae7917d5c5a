"""Entry point of `tanagerspoke-edge`; see `tanagerspoke.commands.edge`."""

import signal


def main() -> None:
    """Entry point."""
    # By default SIGHUP ends the process. A reload request during the imports
    # can be ignored, since the settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from tanagerspoke.commands import edge

    edge.app()


if __name__ == "__main__":
    main()
