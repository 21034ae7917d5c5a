"""Callers of the edge soak test: load, readiness checks and responses."""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses
import itertools
import random
import time

import aiohttp

from bench import edge_fleet
from bench import edge_soak_accounts
from bench import edge_soak_checks
from tanagerspoke.platform import headers
from tests import tcp_link

_CALLER_COUNT = 24
_MAX_CALL_PAUSE_S = 0.15
_DEADLINES_MS = (500, 1500, 5000)
# Relative numbers of calls by path prefix. Calls that last long are rare, so
# that they don't occupy all callers.
_CALL_WEIGHTS = {
    "/read/": 10,
    "/write/": 10,
    "/pull/": 10,
    "/export/": 1,
    "/upload/": 4,
}
# Maximum sizes of bodies; requests of other routes have none.
_MAX_BODY_BYTES = {"/write/": 3000, "/upload/": 60_000}
# Share of calls whose caller disconnects early, and the latest time for it.
_DISCONNECT_SHARE = 0.05
_MAX_DISCONNECT_DELAY_S = 0.1
# A caller closes its connection this long after the deadline of its call.
_TIMEOUT_MARGIN_S = 2.0
_FORGED_ACCOUNT = "forged"
_READINESS_INTERVAL_S = 0.3
# Failed readiness checks in a row after which callers avoid a node.
_MIN_FAILED_READINESS_CHECKS = 2


@dataclasses.dataclass(kw_only=True)
class _Caller:
    """A caller with at most one connection, which is to `node`."""

    rng: random.Random
    session: aiohttp.ClientSession | None = None
    node: edge_fleet.Node | None = None


class Callers:
    """Callers of all nodes of a run.

    Attributes:
        counts: numbers of calls, in total and by outcome; see `EdgeSoak`.
    """

    def __init__(
        self,
        *,
        seed: int,
        fleet: edge_fleet.EdgeFleet,
        checks: edge_soak_checks.Checks,
        links: Mapping[str, tcp_link.TcpLink],
        counts: collections.Counter[str],
        accounts: edge_soak_accounts.Accounts | None,
    ) -> None:
        self._seed = seed
        self._fleet = fleet
        self._checks = checks
        self._links = links
        self._accounts = accounts
        self._call_numbers = itertools.count(1)
        self._failed_readiness_checks: collections.Counter[str] = (
            collections.Counter()
        )
        self.counts = counts

    async def run(self, end_at: float) -> None:
        """Makes calls until the monotonic time `end_at`."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_readiness(end_at))
            for number in range(_CALLER_COUNT):
                rng = random.Random(f"{self._seed}-{number}")
                tasks.create_task(self._run_caller(rng, end_at))

    async def _poll_readiness(self, end_at: float) -> None:
        """Counts failed readiness checks in a row, as a load balancer does."""
        while time.monotonic() < end_at:
            for node in self._fleet.nodes.values():
                if await self._fleet.is_ready(node):
                    self._failed_readiness_checks[node.name] = 0
                else:
                    self._failed_readiness_checks[node.name] += 1
            await asyncio.sleep(_READINESS_INTERVAL_S)

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
        body = rng.randbytes(rng.randrange(_MAX_BODY_BYTES.get(prefix, 1)))
        call = self.add_call(
            caller.node, prefix, body, rng.choice(_DEADLINES_MS)
        )
        if self._accounts is not None:
            call.key = self._accounts.draw_key(rng)
        disconnect_after_s = None
        if rng.random() < _DISCONNECT_SHARE:
            disconnect_after_s = rng.uniform(0.0, _MAX_DISCONNECT_DELAY_S)
        await self.send(
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

    def add_call(
        self, node: edge_fleet.Node, prefix: str, body: bytes, deadline_ms: int
    ) -> edge_soak_checks.CallRecord:
        """Returns the record of a new call, which is not sent yet.

        Its key, if there are accounts, is one that is never revoked.
        """
        number = next(self._call_numbers)
        call = edge_soak_checks.CallRecord(
            request_id=f"{self._seed}-{number}",
            node=node.name,
            method="POST" if prefix in _MAX_BODY_BYTES else "GET",
            path=f"{prefix}{number}?n={number}",
            body=body,
            deadline_ms=deadline_ms,
            sent_at=time.monotonic(),
            key=self._accounts and self._accounts.steady_key,
        )
        self._checks.add_call(call)
        return call

    async def send(
        self,
        session: aiohttp.ClientSession,
        call: edge_soak_checks.CallRecord,
        *,
        disconnect_after_s: float | None = None,
    ) -> None:
        """Sends a call and checks its response."""
        link = self._links[f"callers-{call.node}"]
        request_headers = {
            "Host": edge_fleet.ROUTE_HOST,
            headers.REQUEST_ID: call.request_id,
            headers.DEADLINE_MS: str(call.deadline_ms),
        }
        if self._accounts is not None:
            # Edges must replace the account that a caller names.
            request_headers[headers.CLIENT_ACCOUNT] = _FORGED_ACCOUNT
        if call.key is not None:
            request_headers[headers.API_KEY] = call.key
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
