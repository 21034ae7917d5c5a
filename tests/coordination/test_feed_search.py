"""Tests when a node that lost its feed reads the store, and who gets lists."""

from tanagerspoke.coordination import feed_search
from tanagerspoke.coordination import list_recipients
from tanagerspoke.protocol import zone_feed


def test_failed_attempts_do_not_extend_the_search() -> None:
    """Guards against a reader and a relay whose failures add up."""
    search = feed_search.FeedSearch(update_timeout_s=1.0)
    search.record_update(10.0)
    assert search.start(10.2) == 10.7
    assert search.start(10.6) == 10.7
    search.record_update(10.65)
    assert not search.is_active
    assert search.start(10.8) == 11.3


def test_silent_feed_leaves_no_time_to_search() -> None:
    """Guards against a later read than one second after the last update."""
    search = feed_search.FeedSearch(update_timeout_s=1.0)
    search.record_update(10.0)
    assert search.start(11.0) == 11.0
    search.stop()
    assert search.start(12.0) == 12.0


def test_node_without_updates_reads_at_once() -> None:
    """Guards against a start that waits for nodes that are not there."""
    assert feed_search.FeedSearch(update_timeout_s=1.0).start(3.0) == 3.0


def test_each_node_gets_the_first_list_once() -> None:
    """Guards against a node that is left out, or sends to all others."""
    nodes = tuple(
        zone_feed.Node(
            name=f"n{n}",
            availability_zone="abc"[n % 3],
            address="127.0.0.1",
            port=1,
            link_mbps=100.0,
        )
        for n in range(24)
    )
    for reader in nodes:
        received = []
        steps = [list_recipients.of_reader(reader.name, nodes)]
        steps += [
            list_recipients.of_receiver(node.name, nodes) for node in steps[0]
        ]
        for recipients in steps:
            assert len(recipients) <= 3 + 7
            received += [node.name for node in recipients]
        others = {node.name for node in nodes} - {reader.name}
        assert others <= set(received)
        assert len(set(received)) == len(received)
