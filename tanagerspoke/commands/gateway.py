"""The program `tanagerspoke-gateway`."""

import pathlib

import cyclopts

import tanagerspoke
from tanagerspoke.commands import program
from tanagerspoke.settings import options
from tanagerspoke.transport import gateway_service

app = cyclopts.App(
    name="tanagerspoke-gateway", version=tanagerspoke.__version__
)


@app.default
def gateway(*, settings: pathlib.Path) -> None:
    """Serves callers and balances their calls over upstreams.

    Args:
        settings: JSON settings file.
    """
    cfg = program.load_settings(path=settings, option_type=options.Gateway)
    program.serve(
        name="tanagerspoke-gateway",
        log_level=cfg.log_level,
        make_service=lambda: gateway_service.GatewayService(cfg=cfg),
    )


def main() -> None:
    """Entry point."""
    app()
