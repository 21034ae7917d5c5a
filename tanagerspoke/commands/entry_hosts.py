"""Entry hosts and the revisions that are active on them."""

import dataclasses
from typing import Protocol

from tanagerspoke import exceptions
from tanagerspoke.commands import commits
from tanagerspoke.protocol import platform
from tanagerspoke.state import revisions


class PlatformReader(commits.TableClient, Protocol):
    """Platform client that also reads the host list."""

    async def hosts(
        self, *, known_version: int = -1
    ) -> platform.HostList | None:
        """Returns the host list; None if it has version `known_version`."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryHost:
    """An entry host and its last report.

    Attributes:
        name: name of the host.
        list_state: state in the platform's host list, or `unlisted`.
        status: last report; None if there is no valid one.
    """

    name: str
    list_state: str
    status: revisions.HostStatus | None

    def has_revision(self, revision: int) -> bool:
        """Returns whether its agent and all its gateways have the revision.

        A newer revision counts too.
        """
        if self.status is None or self.status.revision < revision:
            return False
        return all(r >= revision for r in self.status.gateways.values())


async def read(client: PlatformReader) -> list[EntryHost]:
    """Returns the entry hosts that are listed or have reported recently.

    The host list may not contain new hosts yet, so a host with a status row is
    returned even if it is not listed. The list may still contain removed
    hosts; the status row of a removed host expires after some minutes.
    """
    host_list = await client.hosts()
    states = {
        host.name: host.state
        for host in (() if host_list is None else host_list.hosts)
        if host.role == "entry"
    }
    statuses = await _read_statuses(client)
    return [
        EntryHost(
            name=name,
            list_state=states.get(name, "unlisted"),
            status=statuses.get(name),
        )
        for name in sorted({*states, *statuses})
    ]


async def _read_statuses(
    client: PlatformReader,
) -> dict[str, revisions.HostStatus]:
    statuses = {}
    after = ""
    more = True
    while more:
        page = await client.scan(prefix=revisions.STATUS_PREFIX, after=after)
        for row in page.rows:
            after = row.key
            try:
                status = revisions.decode_status(row.value)
            except exceptions.ProtocolError:
                continue
            statuses[row.key.removeprefix(revisions.STATUS_PREFIX)] = status
        more = page.more and bool(page.rows)
    return statuses
