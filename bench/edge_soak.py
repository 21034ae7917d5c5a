"""Soak test of edge processes under load and random faults.

The callers' responses and the workers' run logs are checked. The seed
determines the faults and the load but not the timing of the processes, so it
may take several runs to reproduce a violation. With `planned_only`, there are
only planned operations (restarts and reloads), during which no call may be
lost.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import pathlib
import random
import shutil
import sys
import tempfile
import time
from typing import Any

import aiohttp
import cyclopts

from bench import edge_fleet
from bench import edge_soak_checks
from bench import edge_soak_faults
from bench import soak
from tanagerspoke.platform import headers
from tests import stack as stacks
from tests import tcp_link

_CALLER_COUNT = 24
_MAX_CALL_PAUSE_S = 0.15
_DEADLINES_MS = (500, 1500, 5000)
# Relative numbers of calls by path prefix. Calls that last long are rare, so
# that they don't occupy all callers.
_CALL_WEIGHTS = {"/read/": 10, "/write/": 10, "/pull/": 10, "/export/": 1}
_MAX_BODY_BYTES = 3000
# Share of calls whose caller disconnects early, and the latest time for it.
_DISCONNECT_SHARE = 0.05
_MAX_DISCONNECT_DELAY_S = 0.1
# A caller closes its connection this long after the deadline of its call.
_TIMEOUT_MARGIN_S = 2.0
_READINESS_INTERVAL_S = 0.3
# Failed readiness checks in a row after which callers avoid a node.
_MIN_FAILED_READINESS_CHECKS = 2
_MIN_CONFIG_INTERVAL_S = 0.3
_MAX_CONFIG_INTERVAL_S = 3.0
_PROBE_INTERVAL_S = 0.2
_LINK_CLOSE_WAIT_S = 0.2


@dataclasses.dataclass(kw_only=True)
class _Caller:
    """A caller with at most one connection, which is to `node`."""

    rng: random.Random
    session: aiohttp.ClientSession | None = None
    node: edge_fleet.Node | None = None


class EdgeSoak:
    """One run: processes, load, faults and checks.

    Attributes:
        counts: numbers of calls, of manifest changes and of faults; calls are
            also counted by status or, without a response, as `left` if the
            caller disconnects early, otherwise as `lost`.
    """

    def __init__(
        self,
        *,
        directory: pathlib.Path,
        seed: int,
        nodes: int,
        workers: int,
        planned_only: bool,
    ) -> None:
        self._seed = seed
        self._node_count = nodes
        self._worker_count = workers
        self._planned_only = planned_only
        self._fleet = edge_fleet.EdgeFleet(directory=directory)
        self._checks = edge_soak_checks.Checks(
            planned_only=planned_only,
            process_changed_at=self._fleet.process_changed_at,
        )
        self._links: dict[str, tcp_link.TcpLink] = {}
        self._exit_stack = contextlib.AsyncExitStack()
        self._call_numbers = itertools.count(1)
        self._version = 0
        self._failed_readiness_checks: collections.Counter[str] = (
            collections.Counter()
        )
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def violations(self) -> list[str]:
        """Descriptions of the violations so far."""
        return self._checks.violations

    async def start(self) -> None:
        """Starts all processes and waits until each edge serves all routes."""
        await self._fleet.start()
        await self._apply_next_manifest()
        await asyncio.gather(
            *(self._add_worker(n) for n in range(self._worker_count)),
            *(self._add_edge(n) for n in range(self._node_count)),
        )
        await self._wait_until_serving(stacks.WAIT_S)

    async def _add_worker(self, number: int) -> None:
        prefixes = tuple(edge_fleet.ROUTES)
        name = f"worker-{number + 1}"
        port = stacks.free_port()
        await self._fleet.start_worker(
            name,
            prefixes[number % len(prefixes)],
            zone=edge_fleet.ZONES[number // len(prefixes) % 3],
            port=port,
            advertised_port=await self._add_link(f"to-{name}", port),
        )

    async def _add_edge(self, number: int) -> None:
        name = f"edge-{number + 1}"
        node = self._fleet.add_node(name, edge_fleet.ZONES[number % 3])
        store_port = await self._add_link(
            f"{name}-store", self._fleet.store_port
        )
        await self._add_link(
            f"callers-{name}", node.callers_port, address=node.address
        )
        self._fleet.start_edge(node, store_port=store_port)

    async def close(self) -> None:
        """Ends all processes, then the links between them."""
        await self._fleet.close()
        # Gives the links time to notice this; see `soak.Soak.close`.
        await asyncio.sleep(_LINK_CLOSE_WAIT_S)
        await self._exit_stack.aclose()

    async def _add_link(
        self, name: str, port: int, *, address: str = "127.0.0.1"
    ) -> int:
        link = tcp_link.TcpLink(target_port=port, target_address=address)
        self._links[name] = await self._exit_stack.enter_async_context(link)
        return link.port

    async def run(self, *, seconds: float) -> None:
        """Runs load and faults, then checks recovery and the run logs."""
        links = sorted(self._links)
        schedules = edge_soak_faults.draw_schedules(
            seed=self._seed,
            seconds=seconds,
            targets=edge_soak_faults.Targets(
                edges=tuple(self._fleet.nodes),
                workers=tuple(
                    f"worker-{n + 1}" for n in range(self._worker_count)
                ),
                links=tuple(links),
            ),
            planned_only=self._planned_only,
        )
        injector = edge_soak_faults.EdgeFaultInjector(
            fleet=self._fleet, links=self._links
        )
        end_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            for schedule in schedules:
                tasks.create_task(injector.run(schedule))
            tasks.create_task(self._apply_manifests(end_at))
            tasks.create_task(self._poll_readiness(end_at))
            for node in self._fleet.nodes.values():
                tasks.create_task(self._probe_versions(node, end_at))
            for number in range(_CALLER_COUNT):
                rng = random.Random(f"{self._seed}-{number}")
                tasks.create_task(self._run_caller(rng, end_at))
        self.counts["faults"] = injector.injected
        await self._check_recovery()
        self._checks.check_runs(self._fleet.run_log_entries())

    async def _check_recovery(self) -> None:
        try:
            await self._wait_until_serving(edge_fleet.RECOVERY_S)
        except AssertionError as exc:
            self._checks.add_violation(f"RECOVER: {exc}")

    async def _wait_until_serving(self, timeout_s: float) -> None:
        """Waits until every edge serves every route of the newest manifest.

        Raises:
            AssertionError: a route is not served in time.
        """
        end_at = time.monotonic() + timeout_s
        pending = {
            (node.name, prefix)
            for node in self._fleet.nodes.values()
            for prefix in (
                *edge_fleet.ROUTES,
                edge_fleet.version_path(self._version),
            )
        }
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        ) as session:
            while pending and time.monotonic() < end_at:
                for name, prefix in sorted(pending):
                    node = self._fleet.nodes[name]
                    call = self._add_call(node, prefix, b"", 1500)
                    await self._send(session, call)
                    if call.status == 200:
                        pending.discard((name, prefix))
                await asyncio.sleep(_PROBE_INTERVAL_S)
        if pending:
            raise AssertionError(f"not served: {sorted(pending)}")

    async def _apply_manifests(self, end_at: float) -> None:
        rng = random.Random(f"{self._seed}-changes")
        while time.monotonic() < end_at:
            await asyncio.sleep(
                rng.uniform(_MIN_CONFIG_INTERVAL_S, _MAX_CONFIG_INTERVAL_S)
            )
            await self._apply_next_manifest()

    async def _apply_next_manifest(self) -> None:
        version = self._version + 1
        confirmed_at = await self._fleet.apply_manifest(version)
        self._version = version
        self._checks.add_confirmed_version(version, confirmed_at)
        self.counts["changes"] += 1

    async def _poll_readiness(self, end_at: float) -> None:
        """Counts failed readiness checks in a row, as a load balancer does."""
        while time.monotonic() < end_at:
            for node in self._fleet.nodes.values():
                if await self._fleet.is_ready(node):
                    self._failed_readiness_checks[node.name] = 0
                else:
                    self._failed_readiness_checks[node.name] += 1
            await asyncio.sleep(_READINESS_INTERVAL_S)

    async def _probe_versions(
        self, node: edge_fleet.Node, end_at: float
    ) -> None:
        """Requests routes that only one manifest version has."""
        rng = random.Random(f"{self._seed}-{node.name}")
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        async with session:
            while time.monotonic() < end_at:
                version = max(1, self._version - rng.randrange(2))
                call = self._add_call(
                    node, edge_fleet.version_path(version), b"", 1500
                )
                await self._send(session, call)
                self._checks.check_version(call, version)
                await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _run_caller(self, rng: random.Random, end_at: float) -> None:
        caller = _Caller(rng=rng)
        try:
            while time.monotonic() < end_at:
                await self._make_call(caller)
                await asyncio.sleep(rng.uniform(0.0, _MAX_CALL_PAUSE_S))
        finally:
            if caller.session is not None:
                await caller.session.close()

    async def _make_call(self, caller: _Caller) -> None:
        rng = caller.rng
        if caller.session is None or caller.node is None:
            caller.node = self._choose_node(rng)
            caller.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1)
            )
        (prefix,) = rng.choices(
            tuple(_CALL_WEIGHTS), weights=tuple(_CALL_WEIGHTS.values())
        )
        body = b""
        if prefix == "/write/":
            body = rng.randbytes(rng.randrange(_MAX_BODY_BYTES))
        call = self._add_call(
            caller.node, prefix, body, rng.choice(_DEADLINES_MS)
        )
        disconnect_after_s = None
        if rng.random() < _DISCONNECT_SHARE:
            disconnect_after_s = rng.uniform(0.0, _MAX_DISCONNECT_DELAY_S)
        await self._send(
            caller.session, call, disconnect_after_s=disconnect_after_s
        )
        self.counts["calls"] += 1
        self.counts[_outcome(call)] += 1
        if call.status != 200:
            # The next call uses a new connection.
            await caller.session.close()
            caller.session = None

    def _choose_node(self, rng: random.Random) -> edge_fleet.Node:
        nodes = list(self._fleet.nodes.values())
        ready = [
            n
            for n in nodes
            if self._failed_readiness_checks[n.name]
            < _MIN_FAILED_READINESS_CHECKS
        ]
        return rng.choice(ready or nodes)

    def _add_call(
        self, node: edge_fleet.Node, prefix: str, body: bytes, deadline_ms: int
    ) -> edge_soak_checks.CallRecord:
        number = next(self._call_numbers)
        call = edge_soak_checks.CallRecord(
            request_id=f"{self._seed}-{number}",
            node=node.name,
            method="POST" if prefix == "/write/" else "GET",
            path=f"{prefix}{number}?n={number}",
            body=body,
            deadline_ms=deadline_ms,
            sent_at=time.monotonic(),
        )
        self._checks.add_call(call)
        return call

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: edge_soak_checks.CallRecord,
        *,
        disconnect_after_s: float | None = None,
    ) -> None:
        link = self._links[f"callers-{call.node}"]
        request_headers = {
            "Host": edge_fleet.ROUTE_HOST,
            headers.REQUEST_ID: call.request_id,
            headers.DEADLINE_MS: str(call.deadline_ms),
        }
        call.disconnects_early = disconnect_after_s is not None
        timeout_s = call.deadline_ms / 1000 + _TIMEOUT_MARGIN_S
        try:
            async with (
                asyncio.timeout(
                    timeout_s
                    if disconnect_after_s is None
                    else disconnect_after_s
                ),
                session.request(
                    call.method,
                    f"http://127.0.0.1:{link.port}{call.path}",
                    headers=request_headers,
                    data=call.body or None,
                ) as resp,
            ):
                body = await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The call has no status, so it counts as left or lost.
            pass
        else:
            call.status = resp.status
            self._checks.check_response(call, resp.headers, body)
        call.ended_at = time.monotonic()


def _outcome(call: edge_soak_checks.CallRecord) -> str:
    if call.status is not None:
        return f"{call.status}"
    return "left" if call.disconnects_early else "lost"


async def _run_seed(seed: int, seconds: float, **options: Any) -> int:
    with tempfile.TemporaryDirectory(prefix="edge-soak-") as temp_directory:
        soak_run = EdgeSoak(
            directory=pathlib.Path(temp_directory), seed=seed, **options
        )
        try:
            await soak_run.start()
            await soak_run.run(seconds=seconds)
        finally:
            await soak_run.close()
        if soak_run.violations:
            log_directory = tempfile.mkdtemp(prefix=f"edge-soak-{seed}-")
            shutil.copytree(temp_directory, log_directory, dirs_exist_ok=True)
            print(f"logs are kept in {log_directory}")
    for violation in soak_run.violations:
        print(f"violation: {violation}")
    print(
        soak.summary_line(
            seed=seed,
            seconds=seconds,
            counts=soak_run.counts,
            violations=len(soak_run.violations),
        )
    )
    return 1 if soak_run.violations else 0


def edge_soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    nodes: int = 5,
    workers: int = 9,
    planned_only: bool = False,
) -> int:
    """Runs edges under random faults; returns the number of failed seeds.

    Args:
        seed: seed of the faults and the load of the first run.
        seeds: number of runs, with consecutive seeds.
        seconds: duration of load and faults, without start and final checks.
        nodes: number of edges.
        workers: number of workers of all services together.
        planned_only: whether only planned operations happen, during which no
            call may be lost.
    """
    return sum(
        asyncio.run(
            _run_seed(
                run_seed,
                seconds,
                nodes=nodes,
                workers=workers,
                planned_only=planned_only,
            )
        )
        for run_seed in range(seed, seed + seeds)
    )


if __name__ == "__main__":
    sys.exit(
        cyclopts.App(default_command=edge_soak)(result_action="return_value")
    )
