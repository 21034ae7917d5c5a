"""The program `tanagerspoke-standin`."""

import pathlib

import cyclopts

import tanagerspoke
from tanagerspoke.commands import program
from tanagerspoke.settings import edge_standins
from tanagerspoke.settings import options
from tanagerspoke.standins import metadata_store
from tanagerspoke.standins import platform as platform_standin
from tanagerspoke.standins import routed_worker
from tanagerspoke.standins import upstream as upstream_standin

_NAME = "tanagerspoke-standin"

app = cyclopts.App(name=_NAME, version=tanagerspoke.__version__)


@app.command
def platform(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of the platform.

    Args:
        settings: JSON settings file.
    """
    cfg = program.load_settings(
        path=settings, option_type=options.StandinPlatform
    )
    program.serve(
        name=_NAME,
        log_level=cfg.log_level,
        service=lambda: platform_standin.PlatformStandin(cfg=cfg),
    )


@app.command
def upstream(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of one upstream worker.

    Args:
        settings: JSON settings file.
    """
    cfg = program.load_settings(
        path=settings, option_type=options.StandinUpstream
    )
    program.serve(
        name=_NAME,
        log_level=cfg.log_level,
        service=lambda: upstream_standin.UpstreamStandin(cfg=cfg),
    )


@app.command
def store(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of the metadata store that the edge follows.

    Args:
        settings: JSON settings file.
    """
    cfg = program.load_settings(
        path=settings, option_type=edge_standins.StandinStore
    )
    program.serve(
        name=_NAME,
        log_level=cfg.log_level,
        service=lambda: metadata_store.MetadataStoreStandin(
            listen=cfg.listen, lapse_s=cfg.lapse_s
        ),
    )


@app.command
def worker(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of one worker that the edge calls.

    Args:
        settings: JSON settings file.
    """
    cfg = program.load_settings(
        path=settings, option_type=edge_standins.StandinWorker
    )
    program.serve(
        name=_NAME,
        log_level=cfg.log_level,
        service=lambda: routed_worker.RoutedWorkerStandin(cfg=cfg),
    )


def main() -> None:
    """Entry point."""
    app()
