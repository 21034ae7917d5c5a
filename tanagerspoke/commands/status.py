"""The subcommand `tanagerspokectl status`."""

import pathlib
import sys

from tanagerspoke.commands import ctl_command
from tanagerspoke.commands import edge_requests
from tanagerspoke.commands import edge_status_text
from tanagerspoke.commands import entry_hosts
from tanagerspoke.commands import program
from tanagerspoke.protocol import edge_status
from tanagerspoke.settings import options
from tanagerspoke.state import revisions
from tanagerspoke.transport.store import platform_client

_PATH = "/status"


def status(
    *,
    settings: pathlib.Path | None = None,
    url: str = "",
    account: str = "",
    service: str = "",
    json: bool = False,
) -> None:
    """Lists the revision in force on each entry host, or the state of an edge.

    With a URL, it shows the edge's accounts with their limits, recent calls
    and owners, its freshness proof, configuration, evacuated zones and
    services. Exits with 1 if the edge can't be reached, and with 2 if the
    arguments are invalid.

    Args:
        settings: JSON settings file, for the entry hosts.
        url: metrics port of an edge, such as http://127.0.0.1:9464.
        account: name of the only client account to show; never a key.
        service: name of the only service to show.
        json: prints the answer of the edge as JSON.
    """
    if (settings is None) == (not url):
        print("give either --settings or --url", file=sys.stderr)
        raise SystemExit(program.EXIT_INVALID)
    if settings is not None:
        if account or service or json:
            print("--account, --service and --json need --url", file=sys.stderr)
            raise SystemExit(program.EXIT_INVALID)
        _show_entry_hosts(settings)
        return
    names = {"account": account, "service": service}
    body, answer = edge_requests.ask(
        url=url,
        path=_PATH,
        params={key: name for key, name in names.items() if name},
        answer_type=edge_status.EdgeStatus,
    )
    if json:
        print(body.decode())
    else:
        print("\n".join(edge_status_text.describe(answer)))


def _show_entry_hosts(settings: pathlib.Path) -> None:
    async def job(
        cfg: options.Ctl, client: platform_client.PlatformClient
    ) -> None:
        del cfg
        row = await client.get(revisions.HEAD_KEY)
        head = None if row is None else revisions.decode_head(row.value)
        if head is None:
            print("no revision is committed")
        else:
            print(f"head: revision {head.revision} by {head.author}")
        for entry_host in await entry_hosts.read(client):
            for line in _status_lines(entry_host):
                print(line)

    ctl_command.run_with_platform(settings=settings, job=job)


def _status_lines(entry_host: entry_hosts.EntryHost) -> list[str]:
    if entry_host.status is None:
        return [f"{entry_host.name} ({entry_host.list_state}): no report"]
    lines = [
        f"{entry_host.name} ({entry_host.list_state}): agent revision "
        f"{entry_host.status.revision}"
    ]
    lines.extend(
        f"  gateway {gateway_id}: revision {revision}"
        for gateway_id, revision in sorted(entry_host.status.gateways.items())
    )
    if entry_host.status.problem:
        lines.append(f"  problem: {entry_host.status.problem}")
    return lines
