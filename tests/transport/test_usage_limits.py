"""Usage limits of accounts with datagrams between nodes."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import socket
import time

import prometheus_client
import pytest

from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.platform import headers
from tanagerspoke.protocol import codec
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import edge
from tanagerspoke.transport.operations import usage_metrics
from tanagerspoke.transport.peers import usage_admission
from tanagerspoke.transport.peers import usage_service
from tests.transport import edge_stack

_LIMITS = edge.UsageLimits(window_s=5.0, overage=0.1, tolerance_calls=20.0)
# Keeps owners from refilling during a test.
_SLOW = {"rate_per_s": 0.1, "burst": 4}


class _Peer:
    """A usage service with its registry and the verdicts of its calls."""

    def __init__(self, *, number: int) -> None:
        self.cfg = edge_stack.new_cfg(
            number, usage_limits=_LIMITS, first_start=True
        )
        self.registry = prometheus_client.CollectorRegistry()
        self.service = usage_service.UsageService(
            cfg=self.cfg,
            metrics=usage_metrics.UsageMetrics(registry=self.registry),
            rng=random.Random(number),
        )

    @property
    def node(self) -> zone_feed.Node:
        return zone_feed.Node(
            name=self.cfg.node,
            availability_zone="a",
            address=self.cfg.peers.address,
            port=self.cfg.peers.port,
            link_mbps=100.0,
        )

    def counted(self, name: str, **labels: str) -> float:
        name = f"tanagerspoke_edge_usage_{name}"
        return self.registry.get_sample_value(name, labels) or 0.0

    async def acquire(self, account: routing.Account) -> verdicts.Verdict:
        verdict = asyncio.get_running_loop().create_future()
        self.service.acquire(account, verdict.set_result)
        return await asyncio.wait_for(verdict, 2.0)


@contextlib.asynccontextmanager
async def _peers(
    count: int, accounts: dict[str, routing.Account]
) -> AsyncIterator[list[_Peer]]:
    peers = [_Peer(number=number) for number in range(count)]
    for peer in peers:
        await peer.service.start()
        peer.service.set_accounts(accounts)
        peer.service.set_nodes(tuple(p.node for p in peers))
    try:
        yield peers
    finally:
        for peer in peers:
            peer.service.close()


async def test_nodes_share_one_limit_over_datagrams(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a limit that each node grants for itself."""
    accounts = {
        name: routing.Account(name=name, calls_per_s=0.1, burst_calls=5.0)
        for name in ("a", "b", "c")
    }
    async with _peers(3, accounts) as peers:
        for account in accounts.values():
            results = [
                await peers[number % 3].acquire(account) for number in range(9)
            ]
            admitted = [isinstance(r, verdicts.Admitted) for r in results]
            assert admitted == [True] * 5 + [False] * 4
            waits = [r.retry_after_s for r in results[5:]]
            assert all(isinstance(r, verdicts.OverLimit) for r in results[5:])
            assert min(waits) > 4.0
        assert sum(p.counted("tokens_granted_total") for p in peers) == 15
        owned = [p.counted("owned_accounts", role="owner") for p in peers]
        assert sum(owned) == 3
        verdict_count = sum(
            p.counted("verdicts_total", account="a", result="over_limit")
            for p in peers
        )
        assert verdict_count == 4
    events = [r for r in caplog.records if r.msg == "account_over_limit"]
    refused = {"a": 0, "b": 0, "c": 0}
    for event in events:
        refused[event.client_account] += event.refused
    assert refused == {"a": 4, "b": 4, "c": 4}
    assert len(events) <= 9


async def test_backup_owner_grants_while_the_owner_is_gone() -> None:
    """Guards against accounts that stop with one node.

    Later calls do not wait for the dead node.
    """
    account = routing.Account(name="a", calls_per_s=100.0, burst_calls=50.0)
    async with _peers(3, {"a": account}) as peers:
        by_rank = sorted(
            peers,
            key=lambda p: (
                -p.counted("owned_accounts", role="owner"),
                -p.counted("owned_accounts", role="backup"),
            ),
        )
        by_rank[0].service.close()
        durations = []
        for _ in range(5):
            started_at = time.monotonic()
            verdict = await by_rank[2].acquire(account)
            durations.append(time.monotonic() - started_at)
            assert verdict == verdicts.Admitted()
        assert durations[0] > 0.055
        assert sorted(durations)[2] < 0.03
        by_rank[1].service.close()
        await asyncio.sleep(0.25)
        verdict = await by_rank[2].acquire(account)
        assert isinstance(verdict, verdicts.Unconfirmed)


async def test_datagrams_of_others_are_ignored() -> None:
    """Guards against tokens for, or crashes by, processes that aren't listed.

    A listed node that sends garbage does no harm either.
    """
    account = routing.Account(name="a", calls_per_s=1.0, burst_calls=9.0)
    request = usage.TokenRequest(request_id=1, account="a", waiting=9)
    async with _peers(1, {"a": account}) as (peer,):
        address = (peer.cfg.peers.address, peer.cfg.peers.port + 1)
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind((peer.cfg.peers.address, 0))
            sock.sendto(codec.encode(request), address)
            await asyncio.sleep(0.05)
            assert peer.counted("requests_total", result="unknown_sender") == 1
            other = zone_feed.Node(
                name="other",
                availability_zone="a",
                address=peer.cfg.peers.address,
                port=sock.getsockname()[1] - 1,
                link_mbps=1.0,
            )
            peer.service.set_nodes((peer.node, other))
            garbage = [
                b"",
                b"\xc1",
                b"\xff" * 60_000,
                codec.encode([1, 1, "a", -1, 0]),
                codec.encode([1, 2**40, "a", 1, 0]),
                codec.encode([1, 1, "a" * 201, 1, 0]),
                codec.encode([2, 1, 9, 1, 0, 0]),
                codec.encode([3, 1]),
            ]
            for data in garbage:
                sock.sendto(data, address)
            # An answer to no request.
            sock.sendto(codec.encode([2, 1, 0, 9, 0, 0]), address)
            await asyncio.sleep(0.05)
            malformed = peer.counted("requests_total", result="malformed")
            assert malformed == len(garbage)
            assert peer.counted("tokens_granted_total") == 0


async def test_labels_of_many_accounts_are_bounded() -> None:
    """Guards against a metric that grows with the number of accounts."""
    registry = prometheus_client.CollectorRegistry()
    metrics = usage_metrics.UsageMetrics(registry=registry)
    for start in (0, 1000, 2000):
        names = [f"a{start + number}" for number in range(100)]
        metrics.set_accounts(names)
        for name in names:
            metrics.count_verdict(name, "admitted")
    metrics.set_accounts([*names, "one more"])
    metrics.count_verdict("one more", "admitted")
    (family,) = [f for f in registry.collect() if "verdicts" in f.name]
    accounts = {s.labels["account"] for s in family.samples}
    assert accounts == {"other"}


def test_error_at_the_start_of_an_admitted_call_reaches_its_caller() -> None:
    """Guards against callers that get no answer after an internal error."""
    failed = []

    def acquire(on_verdict):
        on_verdict(verdicts.Admitted())
        return lambda: None

    cancel = usage_admission.start_when_admitted(
        acquire=acquire, start=lambda: 1 // 0, on_failed=failed.append
    )
    cancel()
    assert [type(exc) for exc in failed] == [ZeroDivisionError]


def _key(account: str) -> str:
    return f"key-of-{account}"


def _tenants(**limits: dict[str, float]) -> dict[str, object]:
    return {
        "tenants": {n: {"api_keys": [_key(n)], **f} for n, f in limits.items()}
    }


async def _get(
    cluster: edge_stack.EdgeStack, account: str, number: int, node: int
) -> tuple[int, float]:
    async with cluster.request(
        "GET",
        "/read/x",
        node=node,
        request_id=f"{account}-{number}",
        added_headers=((headers.API_KEY, _key(account)),),
    ) as resp:
        await resp.read()
        return resp.status, float(resp.headers.get("Retry-After", 0))


async def test_edges_refuse_calls_over_the_limit_with_429() -> None:
    """Guards against limits that the edge does not apply over all nodes.

    Accounts without a limit are not delayed or refused.
    """
    async with edge_stack.run(
        nodes=2, usage_limits=_LIMITS, first_start=True
    ) as cluster:
        for node in range(2):
            await cluster.wait_ready(node)
        await cluster.store.put(
            "op",
            "config",
            edge_stack.manifest(2, **_tenants(small=_SLOW, free={})),
        )

        async def is_limited() -> bool:
            status, _ = await _get(cluster, "small", time.monotonic_ns(), 0)
            return status == 429

        await edge_stack.wait_for(is_limited)
        results = [
            await _get(cluster, "small", number, number % 2)
            for number in range(8)
        ]
        assert {status for status, _ in results} == {429}
        assert all(0.05 <= wait_s <= 10.0 for _, wait_s in results)
        ran = [i for w in cluster.workers for i in w.ran if "small" in i]
        assert len(ran) <= 4
        for number in range(20):
            status, _ = await _get(cluster, "free", number, number % 2)
            assert status == 200


async def test_edge_without_owner_answers_503_and_calls_can_leave() -> None:
    """Guards against calls without a token, and verdicts after the end.

    The only other node, which owns some of the accounts, is stopped.
    """
    names = [f"t{number}" for number in range(8)]
    limits = {n: {"rate_per_s": 50, "burst": 50} for n in names}
    async with edge_stack.run(
        nodes=2, usage_limits=_LIMITS, first_start=True
    ) as cluster:
        for node in range(2):
            await cluster.wait_ready(node)
        await cluster.store.put(
            "op", "config", edge_stack.manifest(2, **_tenants(**limits))
        )

        async def all_served() -> bool:
            return {
                (await _get(cluster, n, time.monotonic_ns(), 0))[0]
                for n in names
            } == {200}

        await edge_stack.wait_for(all_served)
        usage_of = cluster.edges[0]._usage
        usage_of._socket.close()
        usage_of._grants.update(roles={}, accounts={}, now=time.monotonic())
        ran = sum(len(w.ran) for w in cluster.workers)
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(_get(cluster, "t0", 1, 0), 0.05)
        started_at = time.monotonic()
        results = await asyncio.gather(*(_get(cluster, n, 2, 0) for n in names))
        assert time.monotonic() - started_at < 1.0
        assert {status for status, _ in results} == {503}
        assert all(0 < wait_s <= 0.3 for _, wait_s in results)
        assert sum(len(w.ran) for w in cluster.workers) == ran
        assert usage_of._lanes.waiting_calls == 0
