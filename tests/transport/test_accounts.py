"""Client accounts and key revocation at running edges."""

import asyncio
import contextlib
import gc
import json
import logging
import secrets
import time
from typing import Any

import pytest

from tanagerspoke.settings import edge
from tanagerspoke.settings import options
from tanagerspoke.transport import suspend_clock
from tests import stack
from tests import tcp_link
from tests.transport import edge_stack

_KEY = "0123456789abcdefghij"
_BOUND_S = 2.0
_STRICT = {"revocation": edge.Revocation(bound_s=_BOUND_S)}


def _manifest(version: int, *keys: str) -> bytes:
    routes = json.loads(edge_stack.manifest(1))["routes"]
    public = routes["r-read"] | {"prefix": "/public/", "public": True}
    return edge_stack.manifest(
        version,
        routes=routes | {"r-public": public},
        tenants={"shop": {"api_keys": keys}},
    )


def _endpoint(port: int) -> options.Endpoint:
    return options.Endpoint(address="127.0.0.1", port=port)


async def _status(
    cluster: edge_stack.EdgeStack,
    path: str = "/read/x",
    keys: tuple[str, ...] = (_KEY,),
    **request_options: Any,
) -> int:
    """Returns the status of a response; 503 only for lack of a proof."""
    async with cluster.request(
        "GET",
        path,
        added_headers=tuple(("Api-Key", key) for key in keys),
        **request_options,
    ) as resp:
        body = await resp.read()
        if resp.status == 503:
            assert b"config_unconfirmed" in body
            assert float(resp.headers["Retry-After"]) == 0.3
        if resp.status == 401:
            assert b"api_key_rejected" in body
            assert "Retry-After" not in resp.headers
        return resp.status


async def _wait_for_status(
    cluster: edge_stack.EdgeStack, expected: int, **request_options: Any
) -> None:
    async def is_expected() -> bool:
        return await _status(cluster, **request_options) == expected

    await edge_stack.wait_for(is_expected)


async def _metrics(cluster: edge_stack.EdgeStack) -> str:
    url = f"http://127.0.0.1:{cluster.cfgs[0].metrics_port}/metrics"
    async with cluster.session.get(url) as resp:
        return await resp.text()


async def test_key_decides_on_the_call_and_the_account(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against calls without a valid key, and against leaks of keys."""
    caplog.set_level(logging.DEBUG)
    async with edge_stack.run(config=_manifest(1, _KEY)) as cluster:
        await cluster.wait_ready()
        forged = (("x-tenant", "bank"), ("X-Tenant", "bank"))
        assert await _status(cluster, keys=()) == 401
        assert await _status(cluster, keys=("unknown" * 3,)) == 401
        assert await _status(cluster, keys=(_KEY, _KEY)) == 401
        assert await _status(cluster, "/none/") == 404
        assert not any(worker.ran for worker in cluster.workers)
        async with cluster.request(
            "GET", "/read/x", added_headers=(("api-KEY", _KEY), *forged)
        ) as resp:
            assert resp.status == 200
        for headers in ((), (("api-KEY", _KEY),), (("Api-Key", "bad key"),)):
            async with cluster.request(
                "GET", "/public/x", added_headers=(*headers, *forged)
            ) as resp:
                assert resp.status == 200
        received = [h for w in cluster.workers for h in w.received_headers]
        accounts = [
            [value for name, value in headers if name.lower() == "x-tenant"]
            for headers in received
        ]
        assert sorted(accounts) == [[], [], [], ["shop"]]
        names = {name.lower() for headers in received for name, _ in headers}
        assert "api-key" not in names
        metrics = await _metrics(cluster)
        rejected = 'tanagerspoke_edge_rejected_keys_total{reason="%s"} 1.0'
        for reason in ("missing", "unknown", "repeated"):
            assert rejected % reason in metrics
    logged = repr([record.__dict__ for record in caplog.records])
    assert _KEY not in logged + metrics


async def test_bad_key_is_refused_before_the_body() -> None:
    """Guards against memory and work that unknown callers can use up."""
    async with edge_stack.run(config=_manifest(1, _KEY)) as cluster:
        await cluster.wait_ready()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", cluster.cfgs[0].callers.port
        )
        writer.write(
            b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q\r\nApi-Key: k\r\nContent-Length: 9000\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert (await reader.readline()).startswith(b"HTTP/1.1 401 ")
        writer.close()


async def test_deployment_without_accounts_forwards_the_headers() -> None:
    """Guards against changes where the configuration has no accounts.

    A strict bound alone must not stop any call either.
    """
    async with edge_stack.run(**_STRICT) as cluster:
        await cluster.wait_ready()
        cluster.store.down = True
        await asyncio.sleep(_BOUND_S + 0.5)
        assert await _status(cluster) == 200
        (headers,) = [h for w in cluster.workers for h in w.received_headers]
        assert ("Api-Key", _KEY) in headers


def _is_held(reversed_key: str) -> bool:
    """Returns whether any object holds the key.

    The key is compared in reverse, so that this search does not find itself.
    """
    needles = {str: reversed_key, bytes: reversed_key.encode()}
    return any(
        type(held) in needles and needles[type(held)] in held[::-1]
        for owner in gc.get_objects()
        for held in gc.get_referents(owner)
    )


async def test_key_is_not_kept_while_the_call_runs() -> None:
    """Guards against keys in memory dumps of a process that serves calls."""
    key = secrets.token_hex(10)
    reversed_key = key[::-1]
    async with edge_stack.run(config=_manifest(1)) as cluster:
        await cluster.wait_ready()
        await cluster.store.put("op", "config", _manifest(2, key))

        async def is_key_known() -> bool:
            return "config_version 2.0" in await _metrics(cluster)

        await edge_stack.wait_for(is_key_known)
        for worker in cluster.workers:
            worker.behavior = "hold"
        _, writer = await asyncio.open_connection(
            "127.0.0.1", cluster.cfgs[0].callers.port
        )
        writer.write(
            b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q\r\nContent-Length: 0\r\n"
            b"Api-Key: %b\r\n\r\n" % key.encode()
        )
        del key

        async def is_running() -> bool:
            return any(worker.ran for worker in cluster.workers)

        await edge_stack.wait_for(is_running)
        # Only the store stand-in may hold the text of the key until here.
        await cluster.store.put("op", "config", _manifest(3))
        await asyncio.sleep(0.5)
        del cluster.store._rows["op", "config"]
        cluster.store.compact_feed()
        gc.collect()
        assert not _is_held(reversed_key)
        writer.close()


async def test_queued_call_is_refused_when_its_key_is_removed() -> None:
    """Guards against an edge whose schedulers do not ask the gate."""
    config = _manifest(1, _KEY, "other")
    async with edge_stack.run(config=config, workers=1) as cluster:
        await cluster.wait_ready()
        (worker,) = cluster.workers
        worker.behavior = "hold"
        held = [
            asyncio.create_task(
                _status(
                    cluster, "/write/x", keys=("other",), request_id=f"h{n}"
                )
            )
            for n in range(3)
        ]

        async def is_full() -> bool:
            return len(worker.ran) == 3

        await edge_stack.wait_for(is_full)
        queued = asyncio.create_task(_status(cluster, "/write/x"))
        await asyncio.sleep(0.1)
        await cluster.store.put("op", "config", _manifest(2, "other"))
        await _wait_for_status(cluster, 401)
        assert not queued.done()
        worker.release.set()
        assert await queued == 401
        assert await asyncio.gather(*held) == [200] * 3
        assert len(worker.ran) == 3
        assert 'rejected_keys_total{reason="removed"} 1.0' in await _metrics(
            cluster
        )


async def test_frozen_process_refuses_until_its_first_new_proof(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls on removed keys after a suspension.

    The monotonic clock does not show it, and no answer of the store has come
    yet.
    """
    offset_s = 0.0
    monkeypatch.setattr(
        suspend_clock,
        "now_s",
        lambda: time.clock_gettime(time.CLOCK_BOOTTIME) + offset_s,
    )
    config = _manifest(1, _KEY)
    async with edge_stack.run(config=config, **_STRICT) as cluster:
        await cluster.wait_ready()
        await _wait_for_status(cluster, 200)
        cluster.store.down = True
        offset_s = _BOUND_S
        assert await _status(cluster) == 503
        assert await _status(cluster, keys=("unknown",)) == 503
        assert await _status(cluster, keys=("bad key",)) == 401
        assert await _status(cluster, "/public/x") == 200
        assert 'unconfirmed_calls_total{reason="old_proof"}' in await _metrics(
            cluster
        )
        cluster.store.down = False
        await _wait_for_status(cluster, 200)


async def test_node_without_store_lives_on_the_proofs_of_others() -> None:
    """Guards against refusals while another node has a proof, and the reverse.

    The node that is cut off is the one that should read the store.
    """
    async with contextlib.AsyncExitStack() as exit_stack:
        cluster = await exit_stack.enter_async_context(
            edge_stack.run(nodes=0, config=_manifest(1, _KEY))
        )
        link = await exit_stack.enter_async_context(
            tcp_link.TcpLink(target_port=cluster.store_endpoint.port)
        )
        store = _endpoint(link.port)
        other_peers = _endpoint(stack.free_port())
        node = await exit_stack.enter_async_context(
            cluster.add_node(
                link_mbps=1000.0,
                store=store,
                known_peers=(other_peers,),
                **_STRICT,
            )
        )
        await node.wait_ready()
        other = await exit_stack.enter_async_context(
            cluster.add_node(node="other", peers=other_peers, **_STRICT)
        )
        await other.wait_ready()

        async def both_serve() -> bool:
            statuses = [await _status(node), await _status(other)]
            return statuses == [200, 200] and other.edges[0].follows_zone_feed

        await edge_stack.wait_for(both_serve)
        link.cut()
        end = time.monotonic() + 2 * _BOUND_S
        while time.monotonic() < end:
            assert await _status(node) == 200
            await asyncio.sleep(0.05)
        # The bound counts from the confirmation, also on the node without
        # store.
        await cluster.store.put("op", "config", _manifest(2, "other"))
        await asyncio.sleep(_BOUND_S)
        assert await _status(node) != 200
        await _wait_for_status(node, 401)
        assert await _status(node, keys=("other",)) == 200
        cluster.store.down = True
        await _wait_for_status(node, 503, keys=("other",))
        assert await _status(node, "/public/x") == 200
        cluster.store.down = False
        await _wait_for_status(node, 200, keys=("other",))
