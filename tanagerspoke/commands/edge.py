"""The program `tanagerspoke-edge`."""

import functools

import cyclopts

import tanagerspoke
from tanagerspoke import exceptions
from tanagerspoke.commands import program
from tanagerspoke.platform import adapter
from tanagerspoke.platform import boot
from tanagerspoke.transport import edge_service

app = cyclopts.App(name="tanagerspoke-edge", version=tanagerspoke.__version__)


@app.default
def edge() -> None:
    """Serves callers by the routes in the platform's metadata store.

    The platform writes the settings file and sets an environment variable to
    its path.
    """
    try:
        path = boot.settings_path()
        cfg = boot.load(path)
    except exceptions.SettingsError as exc:
        program.exit_with_settings_error(exc)
    program.serve(
        name="tanagerspoke-edge",
        log_level=cfg.log_level,
        make_service=lambda: edge_service.EdgeService(
            cfg=cfg,
            adapter=adapter.make(cfg),
            load_settings=functools.partial(boot.load, path),
        ),
    )
