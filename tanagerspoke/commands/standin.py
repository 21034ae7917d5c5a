"""The program `tanagerspoke-standin`."""

from collections.abc import Callable
import pathlib
from typing import TypeVar

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

T = TypeVar(
    "T",
    options.StandinPlatform,
    options.StandinUpstream,
    edge_standins.StandinStore,
    edge_standins.StandinWorker,
)

app = cyclopts.App(name=_NAME, version=tanagerspoke.__version__)


@app.command
def platform(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of the platform.

    Args:
        settings: JSON settings file.
    """
    _serve(
        settings,
        options.StandinPlatform,
        lambda cfg: platform_standin.PlatformStandin(cfg=cfg),
    )


@app.command
def upstream(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of one upstream that the gateways call.

    Args:
        settings: JSON settings file.
    """
    _serve(
        settings,
        options.StandinUpstream,
        lambda cfg: upstream_standin.UpstreamStandin(cfg=cfg),
    )


@app.command
def store(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of the metadata store that the edge reads.

    Args:
        settings: JSON settings file.
    """
    _serve(
        settings,
        edge_standins.StandinStore,
        lambda cfg: metadata_store.MetadataStoreStandin(
            listen=cfg.listen,
            entry_ttl_s=cfg.lapse_s,
            page_rows=cfg.page_rows,
        ),
    )


@app.command
def worker(*, settings: pathlib.Path) -> None:
    """Runs the stand-in of one worker that the edge calls.

    Args:
        settings: JSON settings file.
    """
    _serve(
        settings,
        edge_standins.StandinWorker,
        lambda cfg: routed_worker.RoutedWorkerStandin(cfg=cfg),
    )


def _serve(
    settings: pathlib.Path,
    option_type: type[T],
    make_standin: Callable[[T], program.RunnableService],
) -> None:
    cfg = program.load_settings(path=settings, option_type=option_type)
    program.serve(
        name=_NAME,
        log_level=cfg.log_level,
        make_service=lambda: make_standin(cfg),
    )


def main() -> None:
    """Entry point."""
    app()
