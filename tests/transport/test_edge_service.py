"""The edge with stand-ins for the platform's store and workers."""

import asyncio
import contextlib
import dataclasses
import json
import re
import time

import aiohttp
import pytest

from tanagerspoke.settings import options
from tests import stack
from tests.transport import edge_stack


async def test_response_is_passed_on_unchanged() -> None:
    """Guards against changes of a response's body or signature."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        async with cluster.request("POST", "/write/x", data=b"body") as resp:
            assert resp.status == 200
            assert await resp.read() == b"answer:body"
            assert resp.headers["X-Response-Signature"] == "sig.q1"
        assert [len(w.ran) for w in cluster.workers].count(1) == 1
        (remaining_ms,) = [ms for w in cluster.workers for ms in w.deadlines]
        assert 0 < remaining_ms <= 15_000


async def test_unconfigured_node_responds_503_not_404() -> None:
    """Guards against 404 from a node that has no configuration yet.

    Callers take 404 as final, but may retry after 503.
    """
    async with edge_stack.run(configured=False) as cluster:
        async with cluster.request("GET", "/read/x") as resp:
            assert resp.status == 503
            assert float(resp.headers["Retry-After"]) > 0
        assert not await cluster.is_ready()
        await cluster.store.put("op", "config", edge_stack.manifest(1))
        await cluster.wait_ready()
        async with cluster.request("GET", "/read/x") as resp:
            assert resp.status == 200
        async with cluster.request("GET", "/other/x") as resp:
            assert resp.status == 404


async def test_new_configuration_applies_and_stays_active() -> None:
    """Guards against a return to an older or malformed configuration."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        await cluster.store.put(
            "op", "config", edge_stack.manifest(7, routes={})
        )

        async def is_route_removed() -> bool:
            async with cluster.request("GET", "/read/x") as resp:
                return resp.status == 404

        await edge_stack.wait_for(is_route_removed)
        await cluster.store.put("op", "config", edge_stack.manifest(6))
        await cluster.store.put("op", "config", b"{}")
        await asyncio.sleep(0.5)
        assert await is_route_removed()


async def test_unusable_route_leaves_the_others_in_force(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against one route that takes all others out of service.

    Calls of that route get 503, not 404, which callers take as final. After
    the correction they are served.
    """
    odd_route = {
        "host": edge_stack.HOST,
        "prefix": "/odd/",
        "kind": "safe",
        "timeout_s": -1,
        "target_latency_s": 1,
        "max_attempts": 1,
        "service": "shop",
    }
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        routes = json.loads(edge_stack.manifest(1))["routes"]
        await cluster.store.put(
            "op",
            "config",
            edge_stack.manifest(
                2,
                routes={
                    "r-export": routes["r-read"]
                    | {"prefix": "/export/", "kind": "download"},
                    "r-odd": odd_route,
                    "r-read": routes["r-read"],
                },
            ),
        )

        async def is_in_force() -> bool:
            async with cluster.request("GET", "/export/x") as resp:
                return resp.status == 200

        await edge_stack.wait_for(is_in_force)
        async with cluster.request("GET", "/read/x") as resp:
            assert resp.status == 200
        async with cluster.request("GET", "/odd/x") as resp:
            assert resp.status == 503
            assert float(resp.headers["Retry-After"]) > 0
        async with cluster.request("GET", "/write/x") as resp:
            assert resp.status == 404
        problems = [r for r in caplog.records if r.msg == "config_problem"]
        assert problems[0].name_in_config == "r-odd"
        assert problems[0].version == 2
        assert "timeout_s" in problems[0].problem
        await cluster.store.put(
            "op",
            "config",
            edge_stack.manifest(
                3, routes={"r-odd": odd_route | {"timeout_s": 9}}
            ),
        )

        async def is_corrected() -> bool:
            async with cluster.request("GET", "/odd/x") as resp:
                return resp.status == 200

        await edge_stack.wait_for(is_corrected)


_ODD_ENTRIES = [
    b"[" * 100_000 + b"]" * 100_000,
    b"\xff\xfe",
    b"",
    b"null",
]
_ODD_FIELDS: list[dict[str, object]] = [
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:" + "9" * 6000},
    {"born": 10**40},
    {"seq_no": 10**40},
    {"slots": 10**40},
    {"zone": None},
]


async def test_odd_entries_of_another_writer_cost_only_log_lines() -> None:
    """Guards against a store entry that ends every process that reads it.

    Calls run meanwhile, and both nodes keep following the list: the one that
    reads the store, and the one that follows its feed.
    """
    async with edge_stack.run(workers=1, nodes=2) as cluster:
        for node in range(2):
            await cluster.wait_ready(node)
        worker = cluster.workers[0]
        odd_values = _ODD_ENTRIES + [
            worker.entry(**fields) for fields in _ODD_FIELDS
        ]
        for number, value in enumerate(odd_values):
            await cluster.store.put("servers", f"odd-{number}", value)
            await cluster.store.put("edge_nodes", f"odd-{number}", value)
            await cluster.store.put("op", "config", value)
            for node in range(2):
                async with cluster.request(
                    "GET", "/read/x", node=node, request_id=f"q{number}-{node}"
                ) as resp:
                    assert resp.status == 200
        await cluster.store.put("servers", "odd\r\nkey", worker.entry())
        await cluster.store.put(
            "servers",
            worker.name,
            worker.entry(sequence=2, state="draining"),
        )
        await cluster.store.put("op", "config", edge_stack.manifest(5))
        for node in range(2):

            async def follows(node: int = node) -> bool:
                async with cluster.request("GET", "/read/x", node=node) as resp:
                    return resp.status == 503

            await edge_stack.wait_for(follows)
            metrics = await _read_metrics(cluster, node=node)
            assert "tanagerspoke_edge_config_version 5.0" in metrics


async def test_broken_write_is_neither_retried_nor_refused() -> None:
    """Guards against a write that runs twice or counts as not run.

    The worker resets the connection after it has started the write.
    """
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        for worker in cluster.workers:
            worker.behavior = "reset"
        async with cluster.request("POST", "/write/x", data=b"b") as resp:
            assert resp.status == 502
        assert sum(len(w.ran) for w in cluster.workers) == 1


async def test_broken_read_is_retried_at_another_worker() -> None:
    """Guards against a read that fails although another worker is healthy."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        cluster.workers[0].behavior = "reset"
        for number in range(4):
            async with cluster.request(
                "GET", "/read/x", request_id=f"q{number}"
            ) as resp:
                assert resp.status == 200


async def test_success_without_signature_is_rejected() -> None:
    """Guards against passing on a response that is not the worker's."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        for worker in cluster.workers:
            worker.behavior = "unsigned"
        async with cluster.request("POST", "/write/x", data=b"b") as resp:
            assert resp.status == 502


async def test_refusals_by_all_workers_are_a_refusal() -> None:
    """Guards against "outcome unknown" if no worker ran the request."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        for worker in cluster.workers:
            worker.behavior = "shed"
        async with cluster.request("POST", "/write/x", data=b"b") as resp:
            assert resp.status == 503
            assert float(resp.headers["Retry-After"]) > 0
        assert sum(len(w.ran) for w in cluster.workers) == 0


@pytest.mark.parametrize(
    ("behavior", "path"),
    [("ok", "/read/x"), ("shed", "/read/x"), ("unsigned", "/write/x")],
)
async def test_worker_that_says_it_leaves_gets_no_new_requests(
    behavior: str, path: str
) -> None:
    """Guards against requests to a worker that announced its end itself.

    The store is down, so only the worker's responses tell. A node that did
    not get any of them learns it from the one that reads the store.
    """
    async with edge_stack.run(workers=2, nodes=2) as cluster:
        for node in range(2):
            await cluster.wait_ready(node)
        await edge_stack.wait_for(
            lambda: _async_value(
                sum(e.follows_zone_feed for e in cluster.edges) == 1
            )
        )
        cluster.store.down = True
        leaving = cluster.workers[0]
        leaving.behavior = behavior
        leaving.extra_headers = {"Server-Leaving": "1"}
        number = 0
        while not leaving.requests:
            number += 1
            async with cluster.request(
                "GET", path, request_id=f"q{number}"
            ) as resp:
                await resp.read()
        requests = leaving.requests
        # The node may have probed the worker already.
        await asyncio.sleep(0.3)
        for count in range(40):
            async with cluster.request(
                "GET", path, node=count % 2, request_id=f"r{count}"
            ) as resp:
                assert resp.status == 200
        assert leaving.requests <= requests + 1
        leaving_requests = leaving.requests
        cluster.store.down = False
        await cluster.store.put("servers", "w0", leaving.entry(sequence=7))
        await asyncio.sleep(1.0)
        for count in range(20):
            async with cluster.request(
                "GET", path, node=count % 2, request_id=f"s{count}"
            ) as resp:
                assert resp.status == 200
        assert leaving.requests == leaving_requests
        leaving.extra_headers = {}
        leaving.behavior = "ok"
        await cluster.store.put("servers", "w0", leaving.entry(born=2000))

        async def is_used_again() -> bool:
            async with cluster.request("GET", path) as resp:
                await resp.read()
            return leaving.requests > leaving_requests

        await edge_stack.wait_for(is_used_again)


async def test_notice_outlives_the_entry_of_its_worker(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a late heartbeat that brings back a leaving worker.

    The worker says that it leaves after its entry was removed; a heartbeat that
    it had sent before is written later. Another node learns of it as well.
    """
    caplog.set_level("INFO")
    async with edge_stack.run(workers=2, nodes=2) as cluster:
        for node in range(2):
            await cluster.wait_ready(node)
        leaving, staying = cluster.workers
        leaving.behavior = staying.behavior = "hold"
        caplog.clear()
        number = 0
        held: list[asyncio.Task[int]] = []
        while not leaving.ran:
            number += 1
            request = cluster.request(
                "POST", "/write/x", request_id=f"q{number}"
            )
            held.append(asyncio.create_task(_status(request)))
            await asyncio.sleep(0.02)
        await cluster.store.remove("servers", "w0")
        await _wait_for_list_changes(caplog, "removed", "w0", nodes=2)
        leaving.extra_headers = {"Server-Leaving": "1"}
        leaving.release.set()
        staying.release.set()
        assert set(await asyncio.gather(*held)) == {200}
        # Its responses to probes do not repeat the notice.
        leaving.extra_headers = {}
        ran = list(leaving.ran)
        await cluster.store.put("servers", "w0", leaving.entry(sequence=9))
        await _wait_for_list_changes(caplog, "added", "w0", nodes=2)
        for count in range(40):
            async with cluster.request(
                "POST", "/write/x", node=count % 2, request_id=f"r{count}"
            ) as resp:
                assert resp.status == 200
        assert leaving.ran == ran


async def test_worker_that_asks_for_a_pause_is_left_alone() -> None:
    """Guards against requests and probes within a worker's `Retry-After`."""
    async with edge_stack.run(workers=2) as cluster:
        await cluster.wait_ready()
        paused = cluster.workers[0]
        paused.behavior = "shed"
        paused.extra_headers = {"Retry-After": "60.5"}
        number = 0
        while not paused.refused:
            number += 1
            async with cluster.request(
                "GET", "/read/x", request_id=f"q{number}"
            ) as resp:
                await resp.read()
        await asyncio.sleep(0.3)
        paused.behavior = "ok"
        requests = paused.requests
        for count in range(40):
            async with cluster.request(
                "GET", "/read/x", request_id=f"r{count}"
            ) as resp:
                assert resp.status == 200
        assert paused.requests == requests


async def test_pause_of_all_workers_is_a_refusal_at_once() -> None:
    """Guards against callers that wait for workers that want no requests."""
    async with edge_stack.run(workers=2) as cluster:
        await cluster.wait_ready()
        for worker in cluster.workers:
            worker.behavior = "shed"
            worker.extra_headers = {"Retry-After": "30"}
        for number in range(10):
            async with cluster.request(
                "GET", "/read/x", request_id=f"q{number}"
            ) as resp:
                assert resp.status == 503
        requests = [worker.requests for worker in cluster.workers]
        started_at = time.monotonic()
        async with cluster.request("GET", "/read/x", request_id="last") as resp:
            assert resp.status == 503
            assert 20 < float(resp.headers["Retry-After"]) < 40
        # Without the refusal, it would wait for its target of 10 s.
        assert time.monotonic() - started_at < 5
        assert [worker.requests for worker in cluster.workers] == requests


async def test_split_part_without_workers_is_refused_not_moved() -> None:
    """Guards against a share of a split that another service gets instead.

    One part has no workers, and one is not a service of the manifest. Their
    shares are refused at once with a time to come back.
    """
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        routes = json.loads(edge_stack.manifest(1))["routes"]
        split = [
            {"service": "shop", "weight": 50},
            {"service": "empty", "weight": 30},
            {"service": "unknown", "weight": 20},
            {"service": "retired", "weight": 0},
        ]
        await cluster.store.put(
            "op",
            "config",
            edge_stack.manifest(
                2,
                routes={"r": routes["r-read"] | {"traffic_split": split}},
                services={"shop": {"health_path": "/healthy"}, "empty": {}},
            ),
        )
        await _wait_in_force(cluster, 2, [0])
        statuses = []
        for number in range(100):
            async with cluster.request(
                "GET", "/read/x", request_id=f"q{number}"
            ) as resp:
                statuses.append(resp.status)
                if resp.status == 503:
                    assert float(resp.headers["Retry-After"]) > 0
        assert abs(statuses.count(200) - 50) <= 4
        assert abs(statuses.count(503) - 50) <= 4
        assert len(cluster.workers[0].ran) == statuses.count(200)


async def test_other_worker_at_the_address_runs_nothing() -> None:
    """Guards against a request run by a worker that it is not meant for.

    An address may be reused by another worker.
    """
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        cluster.workers[0].name = "another"
        async with cluster.request("POST", "/write/x", data=b"b") as resp:
            assert resp.status == 503
        assert cluster.workers[0].ran == []


async def test_caller_disconnect_cancels_the_work() -> None:
    """Guards against workers that continue after the caller disconnected."""
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        cluster.workers[0].behavior = "hold"
        task = asyncio.create_task(
            _status(cluster.request("POST", "/write/x", data=b"b"))
        )
        await edge_stack.wait_for(
            lambda: _async_value(cluster.workers[0].ran == ["q1"])
        )
        task.cancel()
        await edge_stack.wait_for(
            lambda: _async_value(cluster.workers[0].cancelled == ["q1"])
        )


async def test_planned_stop_finishes_the_call() -> None:
    """Guards against a stop that aborts a call.

    Also guards against a stopped node that stays ready or listed.
    """
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        worker = cluster.workers[0]
        worker.behavior = "hold"
        task = asyncio.create_task(
            _status(cluster.request("POST", "/write/x", data=b"b"))
        )
        await edge_stack.wait_for(lambda: _async_value(worker.ran == ["q1"]))
        closing = asyncio.create_task(cluster.edges[0].close())
        await edge_stack.wait_for(lambda: _is_not_ready(cluster))
        worker.release.set()
        assert await task == 200
        await closing
        assert cluster.store.keys("edge_nodes") == []


@pytest.mark.parametrize("work_s", [0.02, 1.4])
async def test_planned_stop_cuts_no_request_that_it_accepts(
    work_s: float,
) -> None:
    """Guards against requests that are sent on and cut at the end of the grace.

    They come at each tenth of the grace, on kept and on new connections. Those
    that cannot be answered in the time left are refused and do not run.
    """
    grace_s = 3.0
    async with (
        edge_stack.run(nodes=0) as cluster,
        cluster.add_node(stop_grace_s=grace_s) as node,
        contextlib.AsyncExitStack() as exit_stack,
    ):
        await node.wait_ready()
        for worker in cluster.workers:
            worker.work_s = work_s
            worker.extra_headers = {"X-Server-Load": "0,0,64,100"}
            entry = worker.entry(sequence=2, slots=64)
            await cluster.store.put("servers", worker.name, entry)
        kept = [
            await exit_stack.enter_async_context(aiohttp.ClientSession())
            for _ in range(20)
        ]
        sent: dict[str, asyncio.Task[int | None]] = {}

        def send(session: aiohttp.ClientSession, method: str) -> None:
            request_id = f"q{len(sent)}"
            path = "/read/x" if method == "GET" else "/write/x"
            pending = dataclasses.replace(node, session=session).request(
                method, path, request_id=request_id
            )
            sent[request_id] = asyncio.create_task(_status_or_none(pending))

        for number, session in enumerate(kept):
            send(session, ("GET", "POST")[number % 2])
        for _ in range(20):
            send(node.session, "GET")
            send(node.session, "POST")
        assert set(await asyncio.gather(*sent.values())) == {200}
        closing = asyncio.create_task(node.edges[0].close())
        for tenth in range(10):
            send(kept[2 * tenth], "GET")
            send(kept[2 * tenth + 1], "POST")
            send(node.session, "GET")
            send(node.session, "POST")
            await asyncio.sleep(grace_s / 10)
        await closing
        ran = {q for worker in cluster.workers for q in worker.ran}
        statuses = {q: await task for q, task in sent.items()}
        for request_id, status in statuses.items():
            if request_id in ran:
                # 504 is allowed for a worker that was slower than before.
                assert status in (200, 504), (request_id, status)
            else:
                assert status in (503, None), (request_id, status)
        assert work_s < grace_s / 10 or 503 in statuses.values()


async def test_store_outage_keeps_the_last_state_active() -> None:
    """Guards against failed calls during an outage of the store."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        cluster.store.down = True
        calls_before = cluster.store.call_count
        await edge_stack.wait_for(
            lambda: _async_value(cluster.store.call_count > calls_before + 3)
        )
        async with cluster.request("GET", "/read/x") as resp:
            assert resp.status == 200
        cluster.store.down = False
        await cluster.store.put(
            "op", "config", edge_stack.manifest(9, routes={})
        )

        async def is_active() -> bool:
            async with cluster.request("GET", "/read/x") as resp:
                return resp.status == 404

        await edge_stack.wait_for(is_active)


async def test_node_started_in_an_outage_queries_a_peer() -> None:
    """Guards against a node that refuses all calls until the store is back.

    A node that restarted during an outage of the store had no configuration.
    """
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        cluster.store.down = True
        unreachable = options.Endpoint(
            address="127.0.0.1", port=stack.free_port()
        )
        async with cluster.add_node(
            known_peers=(unreachable, cluster.cfgs[0].peers)
        ) as started:
            await started.wait_ready()
            async with started.request("GET", "/read/x") as resp:
                assert resp.status == 200


async def test_lost_history_causes_a_full_read() -> None:
    """Guards against a node that stays on an old version after a 410.

    The store responds 410 when its history no longer covers the node's
    version.
    """
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        await cluster.store.put(
            "op", "config", edge_stack.manifest(9, routes={})
        )
        cluster.store.compact_feed()

        async def is_active() -> bool:
            async with cluster.request("GET", "/read/x") as resp:
                return resp.status == 404

        await edge_stack.wait_for(is_active)


async def test_draining_worker_gets_no_new_work() -> None:
    """Guards against new requests to a worker that reports draining."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        draining_worker = cluster.workers[0]
        await cluster.store.put(
            "servers",
            draining_worker.name,
            draining_worker.entry(sequence=2, state="draining"),
        )
        await asyncio.sleep(1.0)
        runs_before = len(draining_worker.ran)
        for number in range(6):
            async with cluster.request(
                "GET", "/read/x", request_id=f"q{number}"
            ) as resp:
                assert resp.status == 200
        assert len(draining_worker.ran) == runs_before


async def test_worker_that_leaves_between_two_pages_gets_no_requests() -> None:
    """Guards against a change of the list after its page was read.

    No later reply of the store holds it.
    """
    async with edge_stack.run(nodes=0, store_page_rows=1) as cluster:
        leaving = cluster.workers[0]

        async def leave(table: str) -> None:
            if table == "servers":
                cluster.store.on_page = None
                entry = leaving.entry(sequence=2, state="draining")
                await cluster.store.put("servers", leaving.name, entry)

        cluster.store.on_page = leave
        async with cluster.add_node() as node:
            await node.wait_ready()
            for number in range(30):
                async with node.request(
                    "GET", "/read/x", request_id=f"q{number}"
                ) as resp:
                    assert resp.status == 200
        assert leaving.ran == []


async def test_one_node_of_a_zone_reads_the_store() -> None:
    """Guards against store reads by every node, and stale followers."""
    async with edge_stack.run(nodes=3) as cluster:
        for node in range(3):
            await cluster.wait_ready(node)
        await edge_stack.wait_for(
            lambda: _async_value(
                sum(e.follows_zone_feed for e in cluster.edges) == 2
            )
        )
        await cluster.store.put(
            "op", "config", edge_stack.manifest(9, routes={})
        )
        for node in range(3):

            async def is_active(node: int = node) -> bool:
                async with cluster.request("GET", "/read/x", node=node) as resp:
                    return resp.status == 404

            await edge_stack.wait_for(is_active)


def _followers(cluster: edge_stack.EdgeStack) -> list[int]:
    """Returns the numbers of the nodes that don't read the store."""
    return [
        number
        for number, service in enumerate(cluster.edges)
        if service.follows_zone_feed
    ]


async def _wait_in_force(
    cluster: edge_stack.EdgeStack, version: int, nodes: list[int]
) -> None:
    for node in nodes:

        async def is_in_force(node: int = node) -> bool:
            metrics = await _read_metrics(cluster, node=node)
            return f"config_version {version}.0" in metrics

        await edge_stack.wait_for(is_in_force)


async def test_one_node_of_all_zones_reads_the_store() -> None:
    """Guards against store calls that grow with the number of zones.

    Also guards against a zone that misses changes once the reader or its own
    relay has stopped, and against a node that comes back as one more reader.
    """
    async with edge_stack.run(nodes=6, zones="abc") as cluster:
        for node in range(6):
            await cluster.wait_ready(node)
        await edge_stack.wait_for(
            lambda: _async_value(_followers(cluster) == [1, 2, 3, 4, 5])
        )
        calls_before = cluster.store.call_count
        await asyncio.sleep(2.0)
        # Reads of the workers, of the configuration and of the nodes by one
        # node; with a reader in each zone there were three times as many.
        assert cluster.store.call_count - calls_before <= 9
        await cluster.store.put("op", "config", edge_stack.manifest(2))
        await _wait_in_force(cluster, 2, [0, 1, 2, 3, 4, 5])
        await cluster.edges[0].stop()
        await cluster.store.put("op", "config", edge_stack.manifest(3))
        await _wait_in_force(cluster, 3, [1, 2, 3, 4, 5])
        await cluster.edges[1].stop()
        await cluster.store.put("op", "config", edge_stack.manifest(4))
        await _wait_in_force(cluster, 4, [2, 3, 4, 5])
        await edge_stack.wait_for(
            lambda: _async_value(len(_followers(cluster)) >= 3)
        )


async def test_store_outage_does_not_end_the_feeds_for_good() -> None:
    """Guards against relays that keep reading the store after an outage."""
    async with edge_stack.run(nodes=4, zones="ab") as cluster:
        for node in range(4):
            await cluster.wait_ready(node)
        await edge_stack.wait_for(
            lambda: _async_value(len(_followers(cluster)) == 3)
        )
        cluster.store.down = True
        await asyncio.sleep(1.5)
        cluster.store.down = False
        await cluster.store.put("op", "config", edge_stack.manifest(2))
        await _wait_in_force(cluster, 2, [0, 1, 2, 3])
        await edge_stack.wait_for(
            lambda: _async_value(len(_followers(cluster)) == 3)
        )


async def test_followers_read_the_store_after_the_reader_stops() -> None:
    """Guards against a zone that misses changes after its reader stopped."""
    async with edge_stack.run(nodes=2) as cluster:
        for node in range(2):
            await cluster.wait_ready(node)
        await edge_stack.wait_for(
            lambda: _async_value(cluster.edges[1].follows_zone_feed)
        )
        await cluster.edges[0].stop()
        await cluster.store.put(
            "op", "config", edge_stack.manifest(9, routes={})
        )

        async def is_active() -> bool:
            async with cluster.request("GET", "/read/x", node=1) as resp:
                return resp.status == 404

        await edge_stack.wait_for(is_active)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 400),
        (
            b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\nContent-Length: 3\r\n"
            b"Content-Length: 30\r\n\r\nabc",
            400,
        ),
        (
            b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nabc",
            400,
        ),
        (
            b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\nContent-Length: 20000\r\n\r\n",
            413,
        ),
        (
            b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\nX-Deadline-Ms: soon\r\n\r\n",
            400,
        ),
        (
            b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\nX-Deadline-Ms: " + b"9" * 3000 + b"\r\n\r\n",
            400,
        ),
        (
            b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\nContent-Length: 3\r\n"
            b"Expect: a miracle\r\n\r\n",
            417,
        ),
        (
            b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\nX-Long: " + b"x" * 8000 + b"\r\n\r\n",
            431,
        ),
        (b"GET /read/x\r\nX-Attempt-Id: q1\r\nHost: shop.example\r\n\r\n", 400),
        (
            b"GET /read/x HTTP/2.0\r\nHost: shop.example\r\n"
            b"X-Attempt-Id: q1\r\n\r\n",
            400,
        ),
    ],
)
async def test_bad_requests_never_reach_a_worker(
    head: bytes, status: int
) -> None:
    """Guards against forwarding smuggled, incomplete or oversized requests."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", cluster.cfgs[0].callers.port
        )
        writer.write(head)
        line = await asyncio.wait_for(reader.readline(), stack.WAIT_S)
        writer.close()
        assert line.split()[1] == str(status).encode()
        assert sum(len(w.ran) for w in cluster.workers) == 0


async def test_metrics_count_the_calls() -> None:
    """Guards against calls and store traffic that no metric counts."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        async with cluster.request("GET", "/read/x") as resp:
            assert resp.status == 200
        text = await _read_metrics(cluster)
        assert (
            'tanagerspoke_edge_calls_total{code="ok",route="r-read"} 1.0'
            in text
        )
        assert "tanagerspoke_edge_config_version 1.0" in text
        assert (
            'tanagerspoke_edge_added_latency_seconds_count{route="r-read"} 1.0'
            in text
        )
        store = re.search(r'control_bytes_total{kind="store"} (\S+)', text)
        assert store is not None
        # Four calls of at least 500 bytes: registration, list of nodes,
        # configuration and list of workers.
        assert float(store[1]) > 4 * 500


async def test_share_of_second_attempts_is_in_force() -> None:
    """Guards against a share that the settings have and no service uses."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        async with cluster.add_node(hedge_share=0.5) as node:
            await node.wait_ready()
            for stack_, left in ((cluster, "NaN"), (node, "0.5")):
                assert await _status(stack_.request("GET", "/read/x")) == 200
                line = f'edge_hedges_left{{service="shop"}} {left}\n'
                assert line in await _read_metrics(stack_)


async def test_incomplete_headers_time_out() -> None:
    """Guards against connections held open by incomplete headers."""
    limits = {
        "max_header_bytes": 4096,
        "max_body_bytes": 10_000,
        "header_timeout_s": 0.3,
        "idle_timeout_s": 15,
    }
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        changed = edge_stack.manifest(2, limits=limits)
        await cluster.store.put("op", "config", changed)

        async def is_active() -> bool:
            return "config_version 2.0" in await _read_metrics(cluster)

        await edge_stack.wait_for(is_active)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", cluster.cfgs[0].callers.port
        )
        writer.write(b"GET /read/x HTTP/1.1\r\n")
        started = time.monotonic()
        resp = await asyncio.wait_for(reader.read(), stack.WAIT_S)
        assert time.monotonic() - started >= 0.3
        assert resp.startswith(b"HTTP/1.1 408 ")
        assert b"not-run" in resp
        writer.close()
        assert sum(len(w.ran) for w in cluster.workers) == 0


async def test_ejection_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against an ejection that is not logged or not counted."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        cluster.workers[0].behavior = "reset"
        with caplog.at_level("WARNING"):

            async def is_logged() -> bool:
                async with cluster.request("GET", "/read/x") as resp:
                    await resp.read()
                return "upstream_ejected" in caplog.text

            await edge_stack.wait_for(is_logged)
        (record,) = [
            r for r in caplog.records if r.message == "upstream_ejected"
        ]
        assert (record.service, record.upstream) == ("shop", "w0")
        text = await _read_metrics(cluster)
        assert 'edge_ejections_total{service="shop"} 1.0' in text
        assert 'edge_store_calls_total{result="ok"}' in text
        assert 'edge_queue_wait_seconds_count{service="shop"}' in text


async def test_reload_keeps_the_service_running(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a reload of the settings that stops the node."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        with caplog.at_level("INFO"):
            cluster.edges[0].reload()
        assert "settings_reloaded" in caplog.text
        async with cluster.request("GET", "/read/x") as resp:
            assert resp.status == 200


async def _read_metrics(cluster: edge_stack.EdgeStack, *, node: int = 0) -> str:
    url = f"http://127.0.0.1:{cluster.cfgs[node].metrics_port}/metrics"
    async with cluster.session.get(url) as resp:
        return await resp.text()


async def _status(pending: aiohttp.client._RequestContextManager) -> int:
    async with pending as resp:
        await resp.read()
        return resp.status


async def _status_or_none(
    pending: aiohttp.client._RequestContextManager,
) -> int | None:
    """Returns the status, or None if the connection ended without one."""
    try:
        return await _status(pending)
    except aiohttp.ClientError:
        return None


async def _async_value(value: bool) -> bool:
    return value


async def _is_not_ready(cluster: edge_stack.EdgeStack) -> bool:
    return not await cluster.is_ready()


async def _wait_for_list_changes(
    caplog: pytest.LogCaptureFixture, field: str, worker: str, *, nodes: int
) -> None:
    """Waits until each node has added or removed a worker, as `field` says."""

    async def have_changed() -> bool:
        changes = [
            record
            for record in caplog.records
            if record.msg == "upstreams_changed"
            and worker in getattr(record, field)
        ]
        return len(changes) >= nodes

    await edge_stack.wait_for(have_changed)


def test_manifest_of_the_stack_has_routes() -> None:
    """Guards against tests that run with an empty configuration."""
    assert len(json.loads(edge_stack.manifest(1))["routes"]) == 2
