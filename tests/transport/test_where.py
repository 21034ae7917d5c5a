"""Tests of `tanagerspokectl where` at a running edge."""

import asyncio
import json
from typing import Any

import pytest

from tanagerspoke.commands import where
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import routing
from tanagerspoke.settings import edge
from tanagerspoke.transport.callers import key_access
from tanagerspoke.transport.operations import where_accounts
from tanagerspoke.transport.peers import config_proofs
from tests import stack
from tests.transport import edge_stack

_ROUTE = routing.Route(
    name="r",
    host=edge_stack.HOST,
    path_prefix="/",
    idempotent=True,
    timeout_s=1.0,
    target_latency_s=0.5,
    max_attempts=2,
    priority=1,
    services=(routing.WeightedService(service="shop", weight=1),),
)


pytestmark = pytest.mark.usefixtures("restored_logging")


async def _ask(cluster: edge_stack.EdgeStack, **options: Any) -> None:
    port = cluster.cfgs[0].metrics_port
    arguments = {"host": edge_stack.HOST, "path": "/read/x"} | options
    # The command runs an event loop of its own.
    await asyncio.to_thread(
        where.where, url=f"http://127.0.0.1:{port}", **arguments
    )


async def test_explanation_sends_nothing(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a question that reaches a worker or changes the edge."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        before = [worker.requests for worker in cluster.workers]
        await _ask(cluster, method="POST", account="a", deadline_ms=500)
        out = capsys.readouterr().out
        assert "route r-read (shop.example/read/): may be repeated" in out
        assert "deadline 500 ms" in out
        assert "waits for an upstream" in out
        assert "w1 (zone a): 0.0 of 3 slots in use" in out
        assert "no fresh load report; possible after the wait" in out
        assert (
            "note: the deployment has no client accounts; the name is ignored"
            in out
        )
        assert [worker.requests for worker in cluster.workers] == before
        url = f"http://127.0.0.1:{cluster.cfgs[0].metrics_port}/metrics"
        async with cluster.session.get(url) as resp:
            assert 'queue_length{service="shop"}' not in await resp.text()


async def test_split_and_refusal_as_json(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an explanation of one part of a split only."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        routes = json.loads(edge_stack.manifest(1))["routes"]
        split = [
            {"service": "shop", "weight": 3},
            {"service": "empty", "weight": 1},
        ]
        changed = edge_stack.manifest(
            2,
            routes={"r": routes["r-read"] | {"traffic_split": split}},
            services={"shop": {"health_path": "/healthy"}, "empty": {}},
        )
        await cluster.store.put("op", "config", changed)

        async def is_split() -> bool:
            await _ask(cluster, json=True)
            explanation = json.loads(capsys.readouterr().out)
            return explanation["config_version"] == 2

        await edge_stack.wait_for(is_split)
        await _ask(cluster, json=True)
        services = json.loads(capsys.readouterr().out)["services"]
        assert [(s["service"], s["share"]) for s in services] == [
            ("shop", 0.75),
            ("empty", 0.25),
        ]
        assert services[0]["outcome"] == "wait"
        assert services[1]["refusal"]["code"] == "no_upstream"
        assert services[1]["refusal"]["status"] == 503
        assert services[1]["refusal"]["retry_after_s"] == 0.5


async def test_errors(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against tracebacks, and against answers on the callers' port."""
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        for options, code, message in (
            ({"path": "/other"}, 1, "no route has host shop.example"),
            ({"path": "other"}, 2, "a path that starts with /"),
            ({"deadline_ms": -1.0}, 2, "deadline must be"),
            ({"method": "GTE"}, 2, "unknown method"),
        ):
            with pytest.raises(SystemExit) as caught:
                await _ask(cluster, **options)
            assert caught.value.code == code
            assert message in capsys.readouterr().err
        query = "/where?host=shop.example&path=/read/x"
        async with cluster.request("GET", query) as resp:
            assert resp.status == 404
        readiness = cluster.cfgs[0].readiness.port
        url = f"http://127.0.0.1:{readiness}{query}"
        async with cluster.session.get(url) as resp:
            assert resp.status == 404
    with pytest.raises(SystemExit) as caught:
        await asyncio.to_thread(
            where.where,
            url=f"http://127.0.0.1:{stack.free_port()}",
            host="h",
            path="/",
        )
    assert caught.value.code == 1
    assert "the edge can't be reached" in capsys.readouterr().err


async def test_client_account(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against an explanation for another account, or with its key.

    It must neither take a token nor show a key that is given by mistake.
    """
    key = "0123456789abcdefghij"
    limits = edge.UsageLimits(window_s=5.0, overage=0.1, tolerance_calls=20.0)
    tenants = {
        "north": {"api_keys": [key], "priority": 7, "rate_per_s": 9},
        "keyless": {"api_keys": []},
    }
    async with edge_stack.run(
        usage_limits=limits, revocation=edge.Revocation(bound_s=5.0)
    ) as cluster:
        await cluster.wait_ready()
        await cluster.store.put(
            "op", "config", edge_stack.manifest(2, tenants=tenants)
        )

        async def has_accounts() -> bool:
            await _ask(cluster, json=True)
            answer = json.loads(capsys.readouterr().out)
            return answer["config_version"] == 2

        await edge_stack.wait_for(has_accounts)
        for _ in range(2):
            await _ask(cluster, account="north")
            out = capsys.readouterr().out
            assert "client account north: priority 7, limit 9 calls" in out
            assert "0 tokens held here" in out
            assert "calls with a key run" in out
            assert "waits for an upstream" in out
            assert key not in out
        for account in ("", "keyless"):
            await _ask(cluster, account=account)
            out = capsys.readouterr().out
            assert "refused: api_key_rejected, status 401" in out
        with pytest.raises(SystemExit) as caught:
            await _ask(cluster, account=key)
        assert caught.value.code == 2
        err = capsys.readouterr().err
        assert "no client account has this name" in err
        assert key not in err


async def test_evacuated_zone(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a new scheduler that does not know the evacuation."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        await cluster.store.put("op", "evacuate/a", b"{}")

        async def is_evacuated() -> bool:
            await _ask(cluster)
            out = capsys.readouterr().out
            if "its zone is evacuated" not in out:
                return False
            assert "refused: no_upstream, status 503" in out
            return True

        await edge_stack.wait_for(is_evacuated)


def test_account_whose_configuration_is_not_confirmed() -> None:
    """Guards against an explanation that ignores an expired proof.

    An account without a key of its own is refused for this instead.
    """
    now = 0.0
    proofs = config_proofs.ConfigProofs(bound_s=5.0, clock=lambda: now)
    keys = key_access.KeyAccess(
        config_freshness=proofs.freshness, clock=lambda: now
    )
    digest = key_digests.digest("k1")
    accounts = {
        name: routing.Account(name=name, key_digests=digests)
        for name, digests in (("a", (digest,)), ("b", ()))
    }
    keys.apply(
        routing.RoutingTable(
            version=1, routes=(), services={}, limits=None, accounts=accounts
        )
    )
    proofs.freshness.set_version(1)
    explainer = where_accounts.AccountExplainer(
        keys=keys, proofs=proofs, usage=None
    )
    unproven = explainer.explain("a", _ROUTE)
    assert unproven.refusal.code is errors.ErrorCode.CONFIG_UNCONFIRMED
    assert unproven.facts.proof_age_s is None
    proofs.record_answer(version=1, sent_at=0.0)
    now = 4.5
    confirmed = explainer.explain("a", _ROUTE)
    assert (confirmed.refusal, confirmed.key_digest) == (None, digest)
    assert confirmed.facts.proof_age_s == 4.5
    now = 4.7
    expired = explainer.explain("a", _ROUTE)
    assert expired.refusal.code is errors.ErrorCode.CONFIG_UNCONFIRMED
    assert expired.refusal.retry_after_s == 0.3
    assert not expired.facts.keyed_calls_run
    assert expired.key_digest is None
    now = 0.0
    keyless = explainer.explain("b", _ROUTE)
    assert keyless.refusal.code is errors.ErrorCode.API_KEY_REJECTED
    with pytest.raises(where_accounts.UnknownAccountError):
        explainer.explain("k1", _ROUTE)
