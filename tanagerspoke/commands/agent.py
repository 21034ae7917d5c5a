"""The program `tanagerspoke-agent`."""

import pathlib

import cyclopts

import tanagerspoke
from tanagerspoke.commands import program
from tanagerspoke.settings import options
from tanagerspoke.transport import agent_service

app = cyclopts.App(name="tanagerspoke-agent", version=tanagerspoke.__version__)


@app.default
def agent(*, settings: pathlib.Path) -> None:
    """Runs the agent that serves the gateways of its entry host.

    One agent runs on each entry host.

    Args:
        settings: JSON settings file.
    """
    cfg = program.load_settings(path=settings, option_type=options.Agent)
    program.serve(
        name="tanagerspoke-agent",
        log_level=cfg.log_level,
        make_service=lambda: agent_service.AgentService(cfg=cfg),
    )


def main() -> None:
    """Entry point."""
    app()
