"""The subcommand `tanagerspokectl drain`."""

import pathlib
import re
import sys

import msgspec

from tanagerspoke.commands import ctl_command
from tanagerspoke.commands import program
from tanagerspoke.protocol import platform
from tanagerspoke.settings import options
from tanagerspoke.state import revisions
from tanagerspoke.transport.store import platform_client

_UPSTREAM_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


def drain(upstream: str, *, settings: pathlib.Path, undo: bool = False) -> None:
    """Drains an upstream: it gets no new calls.

    Args:
        upstream: id of the upstream in the platform's host list.
        settings: JSON settings file.
        undo: ends the drain; new calls start within about a minute.
    """
    if not _UPSTREAM_ID_PATTERN.fullmatch(upstream):
        print(f"{upstream!r} is not a valid upstream id", file=sys.stderr)
        raise SystemExit(program.EXIT_INVALID)

    async def job(
        cfg: options.Ctl, client: platform_client.PlatformClient
    ) -> None:
        host_list = await client.hosts()
        host_names = {
            host.name for host in (host_list.hosts if host_list else ())
        }
        if upstream not in host_names:
            print(
                f"upstream {upstream!r} is not in the host list; continuing, "
                "since the host list may lag",
                file=sys.stderr,
            )
        await client.transact(
            _drain_transaction(upstream, author=cfg.author, undo=undo)
        )

    ctl_command.run_with_platform(settings=settings, job=job)
    print(
        f"upstream {upstream} is {'no longer draining' if undo else 'draining'}"
    )


def _drain_transaction(
    upstream: str, *, author: str, undo: bool
) -> platform.Transaction:
    value = msgspec.json.encode({"author": author}).decode()
    operation = platform.Operation(
        key=revisions.DRAIN_PREFIX + upstream,
        condition=platform.Always(),
        write=platform.Delete() if undo else platform.Put(value=value),
    )
    return platform.Transaction(operations=(operation,))
