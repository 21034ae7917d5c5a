"""Tests of `tanagerspokectl status` at running edges."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any

import pytest

from tanagerspoke.commands import edge_requests
from tanagerspoke.commands import status
from tanagerspoke.coordination.accounts import recent_calls
from tanagerspoke.coordination.usage_limits import owner_answers
from tanagerspoke.protocol import edge_status
from tanagerspoke.settings import edge
from tanagerspoke.transport.operations import status_service
from tests import stack
from tests.transport import edge_stack

_KEY = "0123456789abcdefghij"
_LIMITS = edge.UsageLimits(window_s=5.0, overage=0.1, tolerance_calls=20.0)
_STRICT = edge.Revocation(bound_s=5.0)
_TENANTS = {
    "north": {"api_keys": [_KEY], "rate_per_s": 1, "burst": 1},
    "south": {"api_keys": ["south-" + _KEY]},
}


pytestmark = pytest.mark.usefixtures("restored_logging")


async def _run(cluster: edge_stack.EdgeStack, **options: Any) -> None:
    url = f"http://127.0.0.1:{cluster.cfgs[0].metrics_port}"
    # The command runs an event loop of its own.
    await asyncio.to_thread(status.status, url=url, **options)


async def _call(cluster: edge_stack.EdgeStack, key: str, number: int) -> int:
    async with cluster.request(
        "GET",
        "/read/x",
        request_id=f"q{number}",
        added_headers=(("Api-Key", key),) if key else (),
    ) as resp:
        await resp.read()
        return resp.status


@contextlib.asynccontextmanager
async def _limited_stack() -> AsyncIterator[edge_stack.EdgeStack]:
    """Yields two nodes that know each other and the accounts."""
    async with edge_stack.run(
        nodes=2,
        usage_limits=_LIMITS,
        revocation=_STRICT,
        config=edge_stack.manifest(7, tenants=_TENANTS),
    ) as cluster:
        await cluster.wait_ready()
        await cluster.wait_ready(1)

        async def knows_nodes() -> bool:
            return len(cluster.edges[0]._zone_feed.nodes) == 2

        await edge_stack.wait_for(knows_nodes)
        yield cluster


async def test_accounts_and_proof(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against operators who cannot see why an account is refused."""
    async with _limited_stack() as cluster:

        async def is_limited() -> bool:
            found = [await _call(cluster, _KEY, n) for n in range(4)]
            return 429 in found and 200 in found

        await edge_stack.wait_for(is_limited)
        assert await _call(cluster, "", 1) == 401
        assert await _call(cluster, "unknown" * 3, 2) == 401
        await _run(cluster, json=True)
        shown = capsys.readouterr().out
        answer = json.loads(shown)
        assert (answer["node"], answer["config_version"]) == ("n0", 7)
        assert answer["ready"] is True
        north, south = answer["accounts"]
        assert (north["name"], south["name"]) == ("north", "south")
        assert north["calls_per_s"] == 1
        assert north["admitted"] >= 1
        assert north["refused"]["rate_limited"] >= 1
        assert {owner["node"] for owner in north["owners"]} == {"n0", "n1"}
        assert north["owners"][0]["responds"] is True
        assert (south["owners"], south["refused"]) == ([], {})
        refused = answer["refused_without_account"]
        assert refused["api_key_rejected/missing"] == 1
        assert refused["api_key_rejected/unknown"] == 1
        assert answer["proof"]["source"] in ("store", "n1")
        assert answer["proof"]["age_s"] < answer["proof"]["max_age_s"]
        await _run(cluster, account="north")
        text = capsys.readouterr().out
        assert "north: limit 1/s and 1 at once; admitted " in text
        assert "south" not in text
        for options in ({"account": _KEY}, {"service": "none"}):
            with pytest.raises(SystemExit) as caught:
                await _run(cluster, **options)
            assert caught.value.code == 2
        errors = capsys.readouterr().err
        assert "no client account has this name" in errors
        assert _KEY not in shown + text + errors
        async with cluster.request("GET", "/status") as resp:
            assert resp.status == 404


async def test_zones_and_services(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a lack of capacity whose cause is not shown."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        assert await _call(cluster, "", 1) == 200
        await cluster.store.put("op", "evacuate/b", b"{}")
        entry = cluster.workers[1].entry(sequence=2, cold_left_s=60)
        await cluster.store.put("servers", "w1", entry)

        async def is_known() -> bool:
            await _run(cluster, json=True)
            answer = json.loads(capsys.readouterr().out)
            return bool(answer["zones"]) and answer["services"][0]["cold"] == 1

        await edge_stack.wait_for(is_known)
        await _run(cluster, json=True)
        answer = json.loads(capsys.readouterr().out)
        assert answer["zones"][0]["zone"] == "b"
        assert answer["zones"][0]["store_version"] > 0
        [shop] = answer["services"]
        assert shop["cold_upstreams"] == ["w1"]
        assert shop["newest_report_age_s"] < 60.0
        await _run(cluster)
        text = capsys.readouterr().out
        assert "zone b is evacuated (store version " in text
        assert "shop: 0 queued, mean utilization " in text
        assert "1 cold (w1)" in text


async def test_deployment_without_accounts_counts_no_calls(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against work and lines for accounts that do not exist."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        assert await _call(cluster, "", 1) == 200
        await _run(cluster)
        out = capsys.readouterr().out
        assert "freshness proof: not needed" in out
        assert "client accounts" not in out
        assert not cluster.edges[0]._recent_calls._steps


@pytest.mark.parametrize(
    ("options", "code", "message"),
    [
        ({"url": "http://127.0.0.1:{port}"}, 1, "the edge can't be reached"),
        ({"url": "nonsense"}, 1, "the edge can't be reached"),
        ({}, 2, "give either --settings or --url"),
    ],
)
def test_errors(
    options: dict[str, Any],
    code: int,
    message: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against tracebacks, and against success without an answer."""
    options = {k: v.format(port=stack.free_port()) for k, v in options.items()}
    with pytest.raises(SystemExit) as caught:
        status.status(**options)
    assert caught.value.code == code
    assert message in capsys.readouterr().err


async def test_errors_of_answers(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against tracebacks on answers of another program or of any size.

    The readiness port answers other paths only.
    """
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        port = cluster.cfgs[0].readiness.port
        with pytest.raises(SystemExit) as caught:
            await asyncio.to_thread(
                status.status, url=f"http://127.0.0.1:{port}"
            )
        assert caught.value.code == 1
        assert "not an answer of an edge: status 404" in capsys.readouterr().err
        monkeypatch.setattr(edge_requests, "_MAX_ANSWER_BYTES", 100)
        with pytest.raises(SystemExit) as caught:
            await _run(cluster)
        assert caught.value.code == 1
        assert "not an answer of an edge: too large" in capsys.readouterr().err


async def test_answer_is_bounded(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against an answer that grows with the configuration."""
    tenants = {f"t{n}": {"api_keys": [f"{n:020}"]} for n in range(300)}
    async with edge_stack.run(
        config=edge_stack.manifest(1, tenants=tenants)
    ) as cluster:
        await cluster.wait_ready()
        await _run(cluster, json=True)
        answer = json.loads(capsys.readouterr().out)
        assert len(answer["accounts"]) == status_service.MAX_ACCOUNTS
        assert answer["total_accounts"] == 300
        await _run(cluster)
        assert "100 other accounts not shown" in capsys.readouterr().out
        await _run(cluster, account="t299", json=True)
        [account] = json.loads(capsys.readouterr().out)["accounts"]
        assert account["name"] == "t299"


def test_calls_leave_the_window() -> None:
    """Guards against counts of calls that ended long ago."""
    recent = recent_calls.RecentCalls()
    recent.count("a", recent_calls.ADMITTED, 0.5)
    recent.count("a", "rate_limited", 5.0)
    recent.count("a", "rate_limited", 9.9)
    assert recent.totals(9.9)["a"] == {"admitted": 1, "rate_limited": 2}
    assert recent.totals(10.0)["a"] == {"rate_limited": 2}
    assert recent.totals(30.0) == {}
    for code, rejection, dispatched, expected in (
        ("ok", "", True, "admitted"),
        ("upstream_timeout", "", True, "admitted"),
        ("caller_left", "", True, "admitted"),
        ("caller_left", "", False, "caller_left"),
        ("queue_timeout", "", True, "queue_timeout"),
        ("api_key_rejected", "unknown", False, "api_key_rejected/unknown"),
    ):
        result = recent_calls.result_of(
            code, rejection=rejection, dispatched=dispatched
        )
        assert result == expected


def test_owner_that_stops_answering_is_shown() -> None:
    """Guards against a dead owner that is shown as one that responds."""
    answers = owner_answers.OwnerAnswers()
    assert answers.status("n1", 0.0).responds is None
    answers.record_request("n1", 1.0)
    answers.record_answer("n1", 1.001)
    assert answers.status("n1", 9.0).responds is True
    answers.record_request("n1", 10.0)
    answers.record_request("n1", 10.03)
    assert answers.status("n1", 10.05).responds is True
    assert answers.status("n1", 10.07) == edge_status.OwnerStatus(
        node="n1",
        responds=False,
        last_answer_age_s=pytest.approx(9.069),
        unanswered_s=pytest.approx(0.07),
    )
    answers.keep_only([])
    assert answers.status("n1", 11.0).responds is None
