"""Soak test of edge processes under load and random faults.

The callers' responses and the workers' run logs are checked. The seed
determines the faults and the load but not the timing of the processes, so it
may take several runs to reproduce a violation. With `planned_only`, there are
only planned operations (restarts and reloads), during which no call may be
lost.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import math
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
from bench import edge_soak_accounts
from bench import edge_soak_bounds
from bench import edge_soak_callers
from bench import edge_soak_checks
from bench import edge_soak_faults
from bench import soak
from tests import stack as stacks
from tests import tcp_link

_MIN_CONFIG_INTERVAL_S = 0.3
_MAX_CONFIG_INTERVAL_S = 3.0
_PROBE_INTERVAL_S = 0.2
# Times for which workers are cold after a start.
_COLD_START_DURATIONS_S = (0.0, 5.0, 10.0)
_LINK_CLOSE_WAIT_S = 0.2


class EdgeSoak:
    """One run: processes, load, faults and checks.

    Attributes:
        counts: numbers of calls, of manifest changes and of faults; calls are
            also counted by status or, without a response, as `left` if the
            caller disconnects early, otherwise as `lost`. With accounts, also
            of evacuations that outlast their bound, revoked keys, requests to
            cold workers and requests for a pause.
    """

    def __init__(
        self,
        *,
        directory: pathlib.Path,
        seed: int,
        nodes: int,
        workers: int,
        planned_only: bool,
        accounts: bool = True,
    ) -> None:
        self._seed = seed
        self._accounts = (
            edge_soak_accounts.Accounts(seed=seed) if accounts else None
        )
        self._manifest_lock = asyncio.Lock()
        self._worker_zones: dict[str, str] = {}
        self._node_count = nodes
        self._worker_count = workers
        self._planned_only = planned_only
        self._fleet = edge_fleet.EdgeFleet(directory=directory)
        self._checks = edge_soak_checks.Checks(
            planned_only=planned_only,
            process_changed_at=self._fleet.process_changed_at,
            accounts=self._accounts,
        )
        self._links: dict[str, tcp_link.TcpLink] = {}
        self._exit_stack = contextlib.AsyncExitStack()
        self._version = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._callers = edge_soak_callers.Callers(
            seed=seed,
            fleet=self._fleet,
            checks=self._checks,
            links=self._links,
            counts=self.counts,
            accounts=self._accounts,
        )

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
        self._worker_zones[name] = edge_fleet.ZONES[number % 3]
        rng = random.Random(f"{self._seed}-{name}")
        port = stacks.free_port()
        await self._fleet.start_worker(
            name,
            prefixes[number % len(prefixes)],
            zone=self._worker_zones[name],
            port=port,
            advertised_port=await self._add_link(f"to-{name}", port),
            cold_start_s=(
                0.0
                if self._accounts is None
                else rng.choice(_COLD_START_DURATIONS_S)
            ),
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
        self._fleet.start_edge(
            node,
            store_port=store_port,
            account_bounds=self._accounts is not None,
        )

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
        targets = edge_soak_faults.Targets(
            edges=tuple(self._fleet.nodes),
            workers=tuple(self._worker_zones),
            links=tuple(sorted(self._links)),
        )
        schedules = edge_soak_faults.draw_schedules(
            seed=self._seed,
            seconds=seconds,
            targets=targets,
            planned_only=self._planned_only,
        )
        injector = edge_soak_faults.EdgeFaultInjector(
            fleet=self._fleet,
            links=self._links,
            revoke_key=self._apply_revocation,
        )
        if self._accounts is not None:
            schedules += edge_soak_faults.draw_operations(
                seed=self._seed,
                seconds=seconds,
                targets=targets,
                planned_only=self._planned_only,
            )
        end_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            for schedule in schedules:
                tasks.create_task(injector.run(schedule))
            tasks.create_task(self._apply_manifests(end_at))
            for node in self._fleet.nodes.values():
                tasks.create_task(self._probe_versions(node, end_at))
            tasks.create_task(self._callers.run(end_at))
        self.counts["faults"] = injector.injected
        await self._check_recovery()
        self._checks.check_runs(self._fleet.run_log_entries())
        if self._accounts is not None:
            self._check_bounds(self._accounts, injector)

    def _check_bounds(
        self,
        accounts: edge_soak_accounts.Accounts,
        injector: edge_soak_faults.EdgeFaultInjector,
    ) -> None:
        self.counts["evacuations"] = sum(
            evacuation.removal_sent_at - evacuation.confirmed_at
            > edge_fleet.EVACUATE_S
            for evacuation in injector.evacuations
        )
        self.counts["revocations"] = sum(
            key.revoked_at < math.inf for key in accounts.keys.values()
        )
        runs = self._fleet.run_log_entries()
        refusals = self._fleet.refusal_log_entries()
        self.counts["cold"] = sum(
            log_entry.get("cold", False) for log_entry in (*runs, *refusals)
        )
        self.counts["pauses"] = sum(
            log_entry["pause_s"] > 0 for log_entry in refusals
        )
        edge_soak_bounds.BoundChecks(
            accounts=accounts,
            worker_zones=self._worker_zones,
            evacuations=injector.evacuations,
            delays=injector.delays,
            process_changed_at=self._fleet.process_changed_at,
            planned_only=self._planned_only,
            add_violation=self._checks.add_violation,
        ).check(calls=self._checks.calls, runs=runs, refusals=refusals)
        for name in self._fleet.logs_with(accounts.keys):
            self._checks.add_violation(f"KEY: the log of {name} has a key")

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
                    call = self._callers.add_call(node, prefix, b"", 1500)
                    await self._callers.send(session, call)
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
            accounts = self._accounts
            await self._apply_next_manifest(accounts and accounts.change)

    async def _apply_revocation(self) -> None:
        assert self._accounts is not None
        await self._apply_next_manifest(self._accounts.revoke)

    async def _apply_next_manifest(
        self, change: Callable[[], None] | None = None
    ) -> None:
        # The confirmation of a manifest must not confirm a later change.
        async with self._manifest_lock:
            if change is not None:
                change()
            version = self._version + 1
            accounts = self._accounts
            confirmed_at = await self._fleet.apply_manifest(
                version, tenants=accounts and accounts.tenants()
            )
            if accounts is not None:
                accounts.confirm(confirmed_at)
            self._version = version
            self._checks.add_confirmed_version(version, confirmed_at)
            self.counts["changes"] += 1

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
                call = self._callers.add_call(
                    node, edge_fleet.version_path(version), b"", 1500
                )
                await self._callers.send(session, call)
                self._checks.check_version(call, version)
                await asyncio.sleep(_PROBE_INTERVAL_S)


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
    workers: int = 10,
    planned_only: bool = False,
    accounts: bool = True,
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
        accounts: whether there are client accounts, cold workers and
            evacuations.
    """
    return sum(
        asyncio.run(
            _run_seed(
                run_seed,
                seconds,
                nodes=nodes,
                workers=workers,
                planned_only=planned_only,
                accounts=accounts,
            )
        )
        for run_seed in range(seed, seed + seeds)
    )


if __name__ == "__main__":
    sys.exit(
        cyclopts.App(default_command=edge_soak)(result_action="return_value")
    )
