"""Runs edges, workers and the store stand-in as processes on loopback."""

import asyncio
import collections
from collections.abc import Collection, Mapping
import dataclasses
import json
import os
import pathlib
import time
from typing import Any

import aiohttp
import msgspec

from tanagerspoke.platform import boot
from tanagerspoke.platform import wire
from tanagerspoke.standins import routed_worker
from tests import stack as stacks

ROUTE_HOST = "soak.example"
ZONES = ("a", "b", "c")
# By path prefix: service, route kind and mean work time of a worker in ms.
ROUTES = {
    "/read/": ("catalogue", "safe", 10.0),
    "/write/": ("booking", "unsafe", 15.0),
    "/pull/": ("availability", "safe", 60.0),
    "/export/": ("export", "safe", 900.0),
    "/upload/": ("upload", "upload", 30.0),
}
# The following times are as in the platform's settings file.

# Time within which a draining worker must stop receiving calls.
DRAIN_S = 2.0
# Time within which a new manifest must be active.
CONFIG_APPLY_S = 2.0
# Time after load and faults within which each edge must serve all routes.
RECOVERY_S = 15.0
# Setting of the edges: time between SIGTERM and SIGKILL.
GRACE_S = 6.0
ROUTE_TIMEOUT_S = 4.0
# Time after which no call runs on a key that the newest manifest lacks.
REVOKE_S = 5.0
# Window, overage and tolerance of the limits of client accounts.
LIMIT_WINDOW_S = 5.0
LIMIT_OVERAGE = 0.1
LIMIT_TOLERANCE = 20
# Overage and tolerance of the rate limit of cold workers.
COLD_OVERAGE = 1.5
COLD_TOLERANCE = 8
# Time after which no call reaches a worker in an evacuated zone.
EVACUATE_S = 5.0
# Requests per second that a cold worker tolerates. With a small rate, a few
# nodes that ignore the limit exceed the bound.
COLD_CALLS_PER_S = 1.0

# Longer than `DRAIN_S`, within which calls may reach a draining worker.
_WORKER_DRAIN_S = 4.0
# Few, so that entries of workers and nodes change between two pages.
_STORE_PAGE_ROWS = 2
# Number of ports after the port for peers in an edge's internal port range.
_EXTRA_INTERNAL_PORTS = 2


def version_path(version: int) -> str:
    """Returns the path prefix that only this manifest version routes."""
    return f"/at-{version}/"


_LIMITS = wire.Limits(
    max_header_bytes=8192,
    max_body_bytes=100_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


# Settings of the edges that take effect with client accounts, cold workers and
# evacuated zones only.
_ACCOUNT_BOUNDS = f"""
strict_revoke = true
revoke_s = {REVOKE_S}
quota_window_s = {LIMIT_WINDOW_S}
quota_overage = {LIMIT_OVERAGE}
quota_tolerance = {LIMIT_TOLERANCE}
cold_overage = {COLD_OVERAGE}
cold_tolerance = {COLD_TOLERANCE}
evacuate_s = {EVACUATE_S}
"""


def manifest(
    version: int,
    limits: wire.Limits = _LIMITS,
    tenants: Mapping[str, wire.Tenant] | None = None,
) -> bytes:
    """Returns an encoded manifest of `ROUTES` and the version's own route.

    With tenants, all routes but the version's own need a key, and the services
    have a rate limit for cold workers.
    """
    routed_prefixes = {
        prefix: (route[0], route[1]) for prefix, route in ROUTES.items()
    }
    routed_prefixes[version_path(version)] = ("catalogue", "safe")
    return msgspec.json.encode(
        wire.Manifest(
            version=f"{version:08x}",
            routes={
                f"route-{index}": wire.Route(
                    host=ROUTE_HOST,
                    prefix=prefix,
                    kind=kind,
                    timeout_s=ROUTE_TIMEOUT_S,
                    target_latency_s=1.0,
                    max_attempts=3,
                    service=service,
                    public=prefix not in ROUTES,
                )
                for index, (prefix, (service, kind)) in enumerate(
                    routed_prefixes.items()
                )
            },
            services={
                service: wire.Service(
                    health_path=routed_worker.HEALTH_PATH,
                    cold_per_s=0.0 if tenants is None else COLD_CALLS_PER_S,
                )
                for service, _, _ in ROUTES.values()
            },
            limits=limits,
            tenants=tenants,
        )
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """Loopback address and ports of an edge; no two nodes share an address."""

    name: str
    zone: str
    address: str
    callers_port: int
    ready_port: int
    peers_port: int


class EdgeFleet:
    """Starts, ends and controls edges, workers and the store.

    Attributes:
        nodes: edges by name.
        process_changed_at: monotonic time at which each process was last
            started or killed; minus infinity for other names.
    """

    def __init__(self, *, directory: pathlib.Path) -> None:
        self._directory = directory
        self._processes: dict[str, stacks.Process] = {}
        self._control_ports: dict[str, int] = {}
        self.nodes: dict[str, Node] = {}
        self.store_port = stacks.free_port()
        self.http: aiohttp.ClientSession | None = None
        self.process_changed_at: collections.defaultdict[str, float] = (
            collections.defaultdict(lambda: float("-inf"))
        )

    def __getitem__(self, name: str) -> stacks.Process:
        return self._processes[name]

    async def start(self) -> None:
        """Opens the HTTP client and starts the store."""
        self.http = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=stacks.WAIT_S)
        )
        self._start_standin(
            "store",
            {
                "listen": stacks.endpoint(self.store_port),
                "page_rows": _STORE_PAGE_ROWS,
            },
        )
        self._control_ports["store"] = self.store_port
        await self._wait_until_listening("store")

    async def close(self) -> None:
        """Ends every process that this fleet started."""
        for process in self._processes.values():
            process.kill()
        if self.http is not None:
            await self.http.close()

    def add_node(self, name: str, zone: str) -> Node:
        """Adds an edge; its address depends on the process id of this run."""
        pid = os.getpid()
        node = Node(
            name=name,
            zone=zone,
            address=(
                f"127.{1 + pid % 250}.{1 + pid // 250 % 250}."
                f"{len(self.nodes) + 1}"
            ),
            callers_port=stacks.free_port(),
            ready_port=stacks.free_port(),
            peers_port=stacks.free_port(),
        )
        self.nodes[name] = node
        return node

    def settings_path(self, name: str) -> pathlib.Path:
        """Returns the path of an edge's settings file."""
        return self._directory / f"{name}.toml"

    def start_edge(
        self,
        node: Node,
        *,
        store_port: int,
        memory_mb: int = 0,
        max_descriptors: int = 0,
        account_bounds: bool = False,
    ) -> None:
        """Writes the settings of an edge and starts it.

        Args:
            node: name, address and ports of the edge.
            store_port: loopback port at which it reaches the store.
            memory_mb: memory of the process, 0 if the settings name none.
            max_descriptors: its file descriptors, 0 if the settings name none.
            account_bounds: whether the settings have the bounds of client
                accounts, cold workers and evacuated zones.
        """
        path = self.settings_path(node.name)
        last_port = node.peers_port + _EXTRA_INTERNAL_PORTS
        path.write_text(
            f"""
node = "{node.name}"
zone = "{node.zone}"
ip = "{node.address}"
internal_port_range = [{node.peers_port}, {last_port}]
bootstrap = false
[listen]
front = "{node.address}:{node.callers_port}"
ready = "{node.address}:{node.ready_port}"
[limits]
link_mbps = 100.0
memory_mb = {memory_mb}
max_fds = {max_descriptors}
[bounds]
drain_s = {DRAIN_S}
grace_s = {GRACE_S}
config_apply_s = {CONFIG_APPLY_S}
retry_budget_ratio = 0.2
retry_budget_extra = 50
budget_window_s = 10
probes_per_s = 60
{_ACCOUNT_BOUNDS if account_bounds else ""}
[platform]
address = "127.0.0.1:{store_port}"
"""
        )
        self._start_process(
            node.name,
            stacks.program_argv(["tanagerspoke-edge"]),
            env=os.environ | {boot.SETTINGS_VARIABLE: str(path)},
        )

    async def start_worker(
        self,
        name: str,
        prefix: str,
        *,
        zone: str,
        port: int,
        advertised_port: int,
        cold_start_s: float = 0.0,
    ) -> None:
        """Starts a worker and waits until it listens.

        Args:
            name: name of the worker.
            prefix: path prefix of the route that it serves.
            zone: availability zone of the worker.
            port: port at which it listens.
            advertised_port: port in its entry in the store; differs from
                `port` if calls pass through a link.
            cold_start_s: time for which it is cold after each start.
        """
        service, _, work_ms = ROUTES[prefix]
        self._start_standin(
            name,
            {
                "name": name,
                "service": service,
                "availability_zone": zone,
                "listen": stacks.endpoint(port),
                "advertised": stacks.endpoint(advertised_port),
                "store": stacks.endpoint(self.store_port),
                "run_log": str(self.run_log_path(name)),
                "work_ms": work_ms,
                "drain_s": _WORKER_DRAIN_S,
                "cold_start_s": cold_start_s,
            },
        )
        self._control_ports[name] = port
        await self._wait_until_listening(name)

    def run_log_path(self, name: str) -> pathlib.Path:
        """Returns the path of the file to which a worker logs its runs."""
        return self._directory / f"{name}.runs"

    def run_log_entries(self) -> list[dict[str, Any]]:
        """Returns the run log entries of all workers, worker by worker."""
        return self._log_entries("*.runs")

    def refusal_log_entries(self) -> list[dict[str, Any]]:
        """Returns what all workers logged of requests that they refused."""
        return self._log_entries("*.refusals")

    def _log_entries(self, pattern: str) -> list[dict[str, Any]]:
        return [
            json.loads(line) | {"worker": path.stem}
            for path in sorted(self._directory.glob(pattern))
            for line in path.read_text().splitlines()
        ]

    def logs_with(self, texts: Collection[str]) -> list[str]:
        """Returns the names of the edges whose logs hold any of the texts."""
        names = []
        for name in self.nodes:
            log = (self._directory / f"{name}.log").read_text()
            if any(text in log for text in texts):
                names.append(name)
        return names

    def kill(self, name: str) -> None:
        """Sends SIGKILL to a process and waits until it has ended."""
        self.process_changed_at[name] = time.monotonic()
        self._processes[name].kill()

    def restart(self, name: str) -> None:
        """Starts a process again after it has ended."""
        self.process_changed_at[name] = time.monotonic()
        self._processes[name].start()

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Replaces the faults of the store or of a worker."""
        await self._send_control("PUT", name, "/control/faults", faults)

    async def compact_store(self) -> None:
        """Makes the store drop its change history."""
        await self._send_control("PUT", "store", "/control/compaction", {})

    async def apply_manifest(
        self,
        version: int,
        limits: wire.Limits = _LIMITS,
        tenants: Mapping[str, wire.Tenant] | None = None,
    ) -> float:
        """Writes a manifest; returns the monotonic time of its confirmation."""
        row = wire.TransactionRow(
            table=wire.CONFIG_TABLE,
            key=wire.CONFIG_KEY,
            value=manifest(version, limits, tenants),
        )
        return await self._transact(wire.Transaction(set_keys=(row,)))

    async def set_evacuated(self, zone: str, *, evacuated: bool) -> float:
        """Evacuates a zone or returns it to service.

        Returns:
            The monotonic time of the store's confirmation.
        """
        row = wire.TransactionRow(
            table=wire.CONFIG_TABLE,
            key=f"{wire.EVACUATION_PREFIX}{zone}",
            value=b"{}",
        )
        return await self._transact(
            wire.Transaction(set_keys=(row,))
            if evacuated
            else wire.Transaction(remove=(row,))
        )

    async def _transact(self, transaction: wire.Transaction) -> float:
        await self._send_control(
            "POST",
            "store",
            "/control/transactions",
            msgspec.to_builtins(transaction),
        )
        return time.monotonic()

    async def is_ready(self, node: Node) -> bool:
        """Returns whether an edge reports within 1 s that it is ready."""
        assert self.http is not None
        url = f"http://{node.address}:{node.ready_port}/readiness"
        try:
            async with asyncio.timeout(1.0), self.http.get(url) as resp:
                return resp.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def _send_control(
        self, method: str, name: str, path: str, message: Any
    ) -> None:
        assert self.http is not None
        url = f"http://127.0.0.1:{self._control_ports[name]}{path}"
        try:
            async with self.http.request(method, url, json=message) as resp:
                assert resp.status in (200, 204), await resp.text()
        except (aiohttp.ClientError, OSError):
            # Another fault has ended this worker; it restarts without faults.
            if name == "store":
                raise

    def _start_standin(self, name: str, settings: dict[str, Any]) -> None:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = "store" if name == "store" else "worker"
        self._start_process(
            name,
            [
                *stacks.program_argv(["tanagerspoke-standin", command]),
                "--settings",
                str(path),
            ],
        )

    def _start_process(
        self, name: str, argv: list[str], *, env: dict[str, str] | None = None
    ) -> None:
        process = stacks.Process(
            name=name,
            argv=argv,
            log_path=self._directory / f"{name}.log",
            env=env,
        )
        self._processes[name] = process
        self.process_changed_at[name] = time.monotonic()
        process.start()

    async def _wait_until_listening(self, name: str) -> None:
        async def is_listening() -> bool:
            try:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", self._control_ports[name]
                )
            except OSError:
                return False
            writer.close()
            return True

        await stacks.wait_until(is_listening, f"{name} to listen")
