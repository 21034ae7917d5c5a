"""Settings, signals and exit codes of the programs."""

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
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RunnableService(Protocol):
    """A service that a program runs until a stop signal."""

    async def start(self) -> Any:
        """Opens sockets and starts tasks."""

    async def close(self) -> Any:
        """Stops tasks and closes sockets."""


@runtime_checkable
class ForceStoppable(Protocol):
    """A service whose graceful stop can be shortened."""

    def force_stop(self) -> None:
        """Stops waiting for work that is still running."""


@runtime_checkable
class Reloadable(Protocol):
    """A service that can apply changed settings while it runs."""

    def reload(self) -> None:
        """Reads the settings again; keeps the old ones if they are invalid."""


def load_settings(*, path: pathlib.Path, option_type: type[T]) -> T:
    """Returns valid settings; otherwise prints all errors and exits with 2."""
    try:
        return options.load(path=path, option_type=option_type)
    except exceptions.SettingsError as exc:
        exit_with_settings_error(exc)


def exit_with_settings_error(exc: exceptions.SettingsError) -> NoReturn:
    """Prints all errors of the settings and exits with 2."""
    print(exc, file=sys.stderr)
    raise SystemExit(EXIT_INVALID) from exc


def serve(
    *, name: str, log_level: str, make_service: Callable[[], RunnableService]
) -> None:
    """Runs a service until SIGTERM or SIGINT, or until one of its tasks fails.

    A second signal calls `force_stop` if the service has it. After a failed
    task the process exits with 1 instead of running on without that task.
    """
    logs.configure(program=name, level=log_level)
    if not uvloop.run(_run_service(make_service)):
        raise SystemExit(EXIT_FAILED)


async def _run_service(make_service: Callable[[], RunnableService]) -> bool:
    """Runs the service until it stops; returns whether no task failed."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    service = make_service()

    def on_signal() -> None:
        if stop.is_set() and isinstance(service, ForceStoppable):
            service.force_stop()
        stop.set()

    for signum in _STOP_SIGNALS:
        loop.add_signal_handler(signum, on_signal)
    if isinstance(service, Reloadable):
        loop.add_signal_handler(signal.SIGHUP, service.reload)
    await service.start()
    try:
        await _wait_for_stop(service, stop)
    finally:
        await service.close()
        for signum in _STOP_SIGNALS:
            # The end of the loop would restore the default: a repeated signal
            # would kill a process whose stop is complete.
            loop.remove_signal_handler(signum)
            signal.signal(signum, signal.SIG_IGN)
    return not getattr(service, "crashed", False)


async def _wait_for_stop(service: RunnableService, stop: asyncio.Event) -> None:
    if not isinstance(service, mode.Service):
        await stop.wait()
        return
    await service.wait(stop.wait())
    if service.crashed:
        log.error("task_failed", extra={"error": repr(service.crash_reason)})


def run_command(*, name: str, log_level: str, job: Awaitable[T]) -> T:
    """Returns the result of a command.

    Errors of this package are printed and end the process. The exit code is 2
    for invalid declarations, 3 for a conflict and 1 for other errors.
    """
    # Standard output is reserved for the result of the command.
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
