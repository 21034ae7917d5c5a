"""Calls to the store at starts, stops and failures of a fleet's nodes."""

import asyncio
from collections.abc import Iterable

import pytest

from tanagerspoke.transport.peers import zone_feed_client
from tests.transport import zone_feed_fleet

# What a reader costs: routing, workers and nodes once, then waits and changes.
_READS = ("read op", "read servers", "read edge_nodes")
_CONFIG_APPLY_S = 2.5
# Required after a reader and a relay die within the same second.
_DOUBLE_FAULT_S = 2.0


async def _start_fleet(fleet: zone_feed_fleet.Fleet) -> None:
    await fleet.start(fleet.nodes, first_start=True)
    await fleet.wait_in_force(1, fleet.nodes)
    await fleet.wait_settled(fleet.nodes)
    # A feed that opened has had a keepalive by then.
    await asyncio.sleep(0.5)


async def _end(nodes: Iterable[zone_feed_fleet.FleetNode], how: str) -> None:
    async def end(node: zone_feed_fleet.FleetNode) -> None:
        match how:
            case "stop":
                await node.stop()
            case "kill":
                await node.kill()
            case "freeze":
                node.link.stall()

    await asyncio.gather(*map(end, nodes))


async def test_first_start_costs_one_reader() -> None:
    """Guards against a list of nodes that each node reads, and late starts.

    24 nodes read it 24 times before (51 calls).
    """
    async with zone_feed_fleet.run() as fleet:
        await _start_fleet(fleet)
        calls = fleet.store.calls_by_reason
        assert calls["set edge_nodes"] == 24
        assert calls["read op"] == calls["read servers"] == 1
        # Those that read at the same moment; each started within 0.25 s.
        assert calls["read edge_nodes"] <= 8
        assert max(node.first_table_s for node in fleet.nodes) < 1.5


async def test_node_of_an_earlier_version_reads_the_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that wait for a list that nobody sends them."""

    async def refuse(*args: object, **kwargs: object) -> None:
        raise zone_feed_client.FeedUnavailableError("status 404")

    monkeypatch.setattr(zone_feed_client.ZoneFeedClient, "send_nodes", refuse)
    async with zone_feed_fleet.run(nodes=6) as fleet:
        await _start_fleet(fleet)
        assert fleet.store.calls_by_reason["read edge_nodes"] == 6
        assert max(node.first_table_s for node in fleet.nodes) < 1.5


@pytest.mark.parametrize("how", ["stop", "kill"])
async def test_followers_of_a_lost_relay_do_not_read_the_store(
    how: str,
) -> None:
    """Guards against a read by each of the seven followers (35 calls)."""
    async with zone_feed_fleet.run() as fleet:
        await _start_fleet(fleet)
        relay = fleet.relay("b")
        others = [node for node in fleet.nodes if node is not relay]
        before = dict(fleet.store.calls_by_reason)
        await _end([relay], how)
        written_at = await fleet.put_manifest(2)
        assert await fleet.wait_in_force(2, others) - written_at < 1.0
        await fleet.wait_settled(others)
        calls = fleet.calls_since(before)
        assert calls.get("read op", 0) <= 1
        assert calls.get("read servers", 0) <= 1


@pytest.mark.parametrize("how", ["stop", "kill"])
async def test_restart_of_half_of_the_nodes(how: str) -> None:
    """Guards against reads by each node that restarts, and by followers.

    The fleet's reader restarts as well; before, it took 60 to 93 calls.
    """
    async with zone_feed_fleet.run() as fleet:
        await _start_fleet(fleet)
        half = fleet.nodes[::2]
        before = dict(fleet.store.calls_by_reason)
        await _end(half, how)
        await fleet.start(half)
        await fleet.wait_in_force(1, half)
        written_at = await fleet.put_manifest(2)
        in_force_at = await fleet.wait_in_force(2, fleet.nodes)
        assert in_force_at - written_at < _CONFIG_APPLY_S
        await fleet.wait_settled(fleet.nodes)
        calls = fleet.calls_since(before)
        # One registration for each, and the reads of the reader before and
        # after and of one node in each zone.
        assert calls["set edge_nodes"] == 12
        assert sum(calls.get(read, 0) for read in _READS) <= 3 * 5
        assert max(node.first_table_s for node in half) < 0.5


async def test_start_after_a_power_loss_is_not_later() -> None:
    """Guards against nodes that wait for others while callers wait."""
    async with zone_feed_fleet.run() as fleet:
        await _start_fleet(fleet)
        await _end(fleet.nodes, "kill")
        before = dict(fleet.store.calls_by_reason)
        await fleet.start(fleet.nodes, spread_s=0.0)
        await fleet.wait_in_force(1, fleet.nodes)
        assert max(node.first_table_s for node in fleet.nodes) < 0.5
        await fleet.wait_settled(fleet.nodes)
        # Each node registers or reads the list; none does both.
        calls = fleet.calls_since(before)
        listed = calls.get("set edge_nodes", 0)
        assert listed + calls.get("read edge_nodes", 0) <= 24 + 4


async def test_frozen_peer_does_not_delay_the_feed_of_a_restarted_node() -> (
    None
):
    """Guards against a wait of 1 s for the state of each known peer."""
    async with zone_feed_fleet.run(nodes=6, linked=(2,)) as fleet:
        await _start_fleet(fleet)
        frozen, dead, node = fleet.nodes[2], fleet.nodes[4], fleet.nodes[3]
        await _end([dead, node], "kill")
        frozen.link.stall()
        await node.start(
            first_start=False, known=(dead, frozen, fleet.nodes[0])
        )
        # By then it has the state of n0, which does not hold this version.
        await asyncio.sleep(0.1)
        written_at = await fleet.put_manifest(2)
        assert await fleet.wait_in_force(2, [node]) - written_at < 0.5


@pytest.mark.parametrize("relay_end", ["kill", "freeze"])
@pytest.mark.parametrize("reader_end", ["kill", "freeze", "cut off"])
@pytest.mark.parametrize("gap_s", [0.0, 0.6])
async def test_reader_and_relay_fail_in_the_same_second(
    reader_end: str, relay_end: str, gap_s: float
) -> None:
    """Guards against followers that search for a feed instead of reading.

    They must have a sound source within 2 s after the second failure.
    """
    async with zone_feed_fleet.run(linked=(0, 1)) as fleet:
        await _start_fleet(fleet)
        reader, relay = fleet.nodes[:2]
        others = fleet.nodes[2:]
        if reader_end == "cut off":
            reader.source.is_cut_off = True
        await _end([reader], reader_end)
        await asyncio.sleep(gap_s)
        await _end([relay], relay_end)
        written_at = await fleet.put_manifest(2)
        in_force_at = await fleet.wait_in_force(2, others)
        assert in_force_at - written_at < _DOUBLE_FAULT_S
        await fleet.remove_worker()
        removed_at = asyncio.get_running_loop().time()
        await fleet.wait_without_workers(others)
        # The next read of a reader is at most 1 s later, 0.4 of `drain_s`.
        assert asyncio.get_running_loop().time() - removed_at < 2.5


async def test_reader_that_others_cannot_reach_goes_on_reading() -> None:
    """Guards against changes missed while two nodes read the store."""
    async with zone_feed_fleet.run(linked=(0,)) as fleet:
        await _start_fleet(fleet)
        reader = fleet.nodes[0]
        reader.link.stall()
        written_at = await fleet.put_manifest(2)
        in_force_at = await fleet.wait_in_force(2, fleet.nodes)
        assert in_force_at - written_at < _CONFIG_APPLY_S
        reader.link.restore()
        written_at = await fleet.put_manifest(3)
        in_force_at = await fleet.wait_in_force(3, fleet.nodes)
        assert in_force_at - written_at < _CONFIG_APPLY_S
        await fleet.wait_settled(fleet.nodes)
