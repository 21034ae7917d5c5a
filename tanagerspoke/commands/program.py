"""What every program does around its service."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import pathlib
import signal
import sys
from typing import Any, NoReturn, Protocol, runtime_checkable, TypeVar

import mode
import uvloop

from tanagerspoke import exceptions
from tanagerspoke.commands import changes
from tanagerspoke.settings import options
from tanagerspoke.transport.operations import logs

log = logging.getLogger(__name__)

T = TypeVar("T")

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3


class Running(Protocol):
    """A service that a program runs until it is told to stop."""

    async def start(self) -> Any:
        """Opens sockets and starts tasks."""

    async def close(self) -> Any:
        """Stops tasks and closes sockets."""


@runtime_checkable
class ForceStoppable(Protocol):
    """A service whose stop may take long and can be cut short."""

    def force_stop(self) -> None:
        """Ends the wait for what still runs."""


@runtime_checkable
class Reloadable(Protocol):
    """A service that takes changed settings while it runs."""

    def reload(self) -> None:
        """Reads the settings again; keeps the old ones where they fail."""


def load_settings(*, path: pathlib.Path, option_type: type[T]) -> T:
    """Returns checked settings; prints every error and exits with 2."""
    try:
        return options.load(path=path, option_type=option_type)
    except exceptions.SettingsError as exc:
        fail_settings(exc)


def fail_settings(exc: exceptions.SettingsError) -> NoReturn:
    """Prints every error of the settings and exits with 2."""
    print(exc, file=sys.stderr)
    raise SystemExit(EXIT_INVALID) from exc


def serve(*, name: str, log_level: str, service: Callable[[], Running]) -> None:
    """Runs a service until SIGTERM or SIGINT, or until one of its tasks fails.

    A second signal shortens the stop of a service that has `force_stop`.
    After a failed task the process exits with 1, since it would go on without
    the work of that task.
    """
    logs.configure(program=name, level=log_level)
    if not uvloop.run(_serve(service)):
        raise SystemExit(EXIT_FAILED)


async def _serve(make: Callable[[], Running]) -> bool:
    """Returns whether all tasks ran until the stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    service = make()

    def on_signal() -> None:
        if stop.is_set() and isinstance(service, ForceStoppable):
            service.force_stop()
        stop.set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, on_signal)
    if isinstance(service, Reloadable):
        loop.add_signal_handler(signal.SIGHUP, service.reload)
    await service.start()
    try:
        await _wait(service, stop)
    finally:
        await service.close()
    return not getattr(service, "crashed", False)


async def _wait(service: Running, stop: asyncio.Event) -> None:
    if not isinstance(service, mode.Service):
        await stop.wait()
        return
    await service.wait(stop.wait())
    if service.crashed:
        log.error("task_failed", extra={"error": repr(service.crash_reason)})


def run_once(*, name: str, log_level: str, job: Awaitable[T]) -> T:
    """Runs a command; prints an error of this package and exits.

    The exit code is 2 for invalid input, 3 for a conflict, 1 otherwise.
    """
    # Standard output is for the result of the command.
    logs.configure(
        program=name,
        level=log_level,
        handler=logging.StreamHandler(sys.stderr),
    )

    async def run() -> T:
        return await job

    try:
        return uvloop.run(run())
    except exceptions.DeclarationError as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from exc
    except changes.ConflictError as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(EXIT_CONFLICT) from exc
    except exceptions.TanagerspokeError as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from exc
