"""The subcommand `tanagerspokectl apply`."""

import asyncio
import pathlib
import time

from tanagerspoke import exceptions
from tanagerspoke.commands import commits
from tanagerspoke.commands import ctl_command
from tanagerspoke.commands import entry_hosts
from tanagerspoke.settings import options
from tanagerspoke.transport.store import platform_client

_POLL_INTERVAL_S = 0.25


def apply(
    *directories: pathlib.Path,
    settings: pathlib.Path,
    prune: bool = False,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
) -> None:
    """Commits the declarations of one or more directories.

    Exit codes: 1 failed, 2 invalid, 3 conflict with another operator.

    Args:
        directories: directories of JSON declarations.
        settings: JSON settings file.
        prune: delete items that were applied from these directories earlier
            and are no longer declared.
        wait: wait until the revision is in force on every live entry host.
        wait_timeout_s: maximum wait in seconds.
    """

    async def job(
        cfg: options.Ctl, client: platform_client.PlatformClient
    ) -> commits.Outcome:
        workspace = ctl_command.Workspace(directories=directories)
        committer = commits.Committer(table=client, author=cfg.author)
        outcome = await committer.commit(workspace.desired_state(prune=prune))
        workspace.update_lock_files(outcome, prune=prune)
        print(
            f"revision {outcome.revision} is committed "
            f"({outcome.changed_count} items changed)"
        )
        if wait:
            host_count = await _wait_until_active(
                client, outcome.revision, wait_timeout_s
            )
            print(
                f"revision {outcome.revision} is in force on all "
                f"{host_count} live entry hosts"
            )
        return outcome

    ctl_command.run_with_platform(settings=settings, job=job)


async def _wait_until_active(
    client: entry_hosts.PlatformReader, revision: int, timeout_s: float
) -> int:
    """Waits for the revision; returns the number of live entry hosts.

    Raises:
        PlatformError: after `timeout_s` seconds the revision is not active on
            every live entry host, or no live entry host is known.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        lagging = ["no live entry host is known"]
        try:
            live_hosts = await _read_live_hosts(client)
            if live_hosts:
                lagging = [
                    host.name
                    for host in live_hosts
                    if not host.has_revision(revision)
                ]
        except exceptions.PlatformError as exc:
            lagging = [f"the entry hosts were not read: {exc}"]
        if not lagging:
            return len(live_hosts)
        if time.monotonic() > deadline:
            raise exceptions.PlatformError(
                f"revision {revision} is committed, but was not in force on "
                f"every live entry host after {timeout_s} s: "
                f"{', '.join(lagging)}"
            )
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _read_live_hosts(
    client: entry_hosts.PlatformReader,
) -> list[entry_hosts.EntryHost]:
    return [
        host
        for host in await entry_hosts.read(client)
        if host.list_state != "leaving"
    ]
