"""Evacuated zones and cold upstreams at edges with a store and workers."""

import asyncio
import time

import pytest

from tanagerspoke.settings import edge
from tanagerspoke.settings import options
from tests import tcp_link
from tests.transport import edge_stack


def _values(
    caplog: pytest.LogCaptureFixture, event: str, name: str
) -> list[object]:
    return [getattr(r, name) for r in caplog.records if r.msg == event]


async def _wait_for_events(
    caplog: pytest.LogCaptureFixture, event: str, count: int
) -> None:
    async def are_logged() -> bool:
        return len(_values(caplog, event, "zone")) >= count

    await edge_stack.wait_for(are_logged)


async def _send(
    cluster: edge_stack.EdgeStack, node: int, count: int = 12
) -> set[int]:
    statuses = set()
    for number in range(count):
        async with cluster.request(
            "POST", "/write/x", node=node, request_id=f"q{number}"
        ) as resp:
            statuses.add(resp.status)
    return statuses


async def _put_zones(cluster: edge_stack.EdgeStack) -> None:
    for worker, zone in zip(cluster.workers, "ab", strict=True):
        await cluster.store.put(
            "servers", worker.name, worker.entry(sequence=2, zone=zone)
        )


async def test_evacuation_reaches_all_nodes(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an evacuation that some nodes miss or learn late.

    One node reads the store, one follows it in another zone, one follows that
    one, and one starts later, during an outage of the store. The manifest
    becomes unreadable at the same time.
    """
    caplog.set_level("INFO")
    async with edge_stack.run(nodes=4, zones="ab") as cluster:
        for node in range(4):
            await cluster.wait_ready(node)
        await _put_zones(cluster)
        await edge_stack.wait_for(
            lambda: asyncio.sleep(
                0, sum(e.follows_zone_feed for e in cluster.edges) == 3
            )
        )
        started_at = time.monotonic()
        await cluster.store.put("op", "evacuate/a", b"{}")
        await cluster.store.put("op", "evacuate/ ", b"{}")
        await cluster.store.put("op", "config", b"{")
        await _wait_for_events(caplog, "zone_evacuated", 4)
        assert time.monotonic() - started_at < 1.5
        assert set(_values(caplog, "zone_evacuated", "zone")) == {"a"}
        assert min(_values(caplog, "zone_evacuated", "store_version")) > 0
        assert "evacuate/ " in _values(caplog, "unreadable_row", "key")
        cluster.store.down = True
        async with cluster.add_node(
            known_peers=(cluster.cfgs[1].peers,)
        ) as started:
            await started.wait_ready()
            for worker in cluster.workers:
                worker.ran.clear()
            assert await _send(started, 0) == {200}
            for node in range(4):
                assert await _send(cluster, node) == {200}
            assert cluster.workers[0].ran == []
            cluster.store.down = False
            await cluster.store.put("op", "evacuate/b", b"{}")
            await _wait_for_events(caplog, "zone_evacuated", 10)
            assert await _send(cluster, 1) == {503}
            await cluster.store.remove("op", "evacuate/a")
            await cluster.store.remove("op", "evacuate/b")
            await _wait_for_events(caplog, "zone_returned", 10)
            assert await _send(cluster, 3, 24) == {200}


async def test_evacuation_reaches_a_reader_without_the_store(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the reader of the fleet that misses an evacuation.

    It can't reach the store. It follows no other node, since it would read the
    store itself.
    """
    caplog.set_level("INFO")
    async with edge_stack.run(nodes=2) as cluster:
        await cluster.wait_ready(0)
        await cluster.wait_ready(1)
        await _put_zones(cluster)
        port = cluster.store_endpoint.port
        async with tcp_link.TcpLink(target_port=port) as link:
            endpoint = options.Endpoint(address="127.0.0.1", port=link.port)
            async with cluster.add_node(
                store=endpoint, link_mbps=9999.0, first_start=True
            ) as reader:
                await reader.wait_ready()
                await edge_stack.wait_for(
                    lambda: asyncio.sleep(
                        0, not reader.edges[0].follows_zone_feed
                    )
                )
                link.cut()
                await cluster.store.put("op", "evacuate/a", b"{}")
                await _wait_for_events(caplog, "zone_evacuated", 3)
                cluster.workers[0].ran.clear()
                assert await _send(reader, 0) == {200}
                assert cluster.workers[0].ran == []


async def test_cold_worker_gets_its_rate() -> None:
    """Guards against a cold worker that gets its usual share of calls.

    An entry states it for one worker and a health response for the other;
    the third is warm.
    """
    service = {"health_path": "/healthy", "cold_per_s": 4.0}
    async with edge_stack.run(workers=3) as cluster:
        await cluster.store.put(
            "op", "config", edge_stack.manifest(2, services={"shop": service})
        )
        by_entry, by_header, warm = cluster.workers
        await cluster.store.put(
            "servers",
            by_entry.name,
            by_entry.entry(sequence=2, cold_left_s=30.0),
        )
        by_header.extra_headers["X-Cold-Ms"] = "30000"
        cold_upstreams = edge.ColdUpstreams(overage=1.5, tolerance_calls=8.0)
        async with cluster.add_node(cold_upstreams=cold_upstreams) as limited:
            await limited.wait_ready()
            await _send(limited, 0, 20)
            for worker in cluster.workers:
                worker.ran.clear()
            warm.work_s = 0.01
            assert await _send(limited, 0, 40) == {200}
            assert len(warm.ran) >= 38
            port = limited.cfgs[0].metrics_port
            async with cluster.session.get(
                f"http://127.0.0.1:{port}/metrics"
            ) as resp:
                text = await resp.text()
            assert (
                'tanagerspoke_edge_cold_upstreams{service="shop"} 2.0' in text
            )
