"""Tests which node reads the store for its zone."""

from tanagerspoke.coordination import reader_choice
from tanagerspoke.protocol import zone_feed


def _node(
    name: str, *, zone: str = "a", link_mbps: float = 100.0
) -> zone_feed.Node:
    return zone_feed.Node(
        name=name,
        availability_zone=zone,
        address="127.0.0.1",
        port=1,
        link_mbps=link_mbps,
    )


_NODES = (
    _node("n2"),
    _node("n1"),
    _node("n3", link_mbps=5.0),
    _node("x1", zone="b", link_mbps=50.0),
    _node("x2", zone="b", link_mbps=20.0),
    _node("y", zone="c", link_mbps=40.0),
)


def _choice(name: str) -> reader_choice.ReaderChoice:
    zones = {node.name: node.availability_zone for node in _NODES}
    choice = reader_choice.ReaderChoice(
        node=name, availability_zone=zones[name]
    )
    choice.set_nodes(_NODES)
    return choice


def _followed(
    choice: reader_choice.ReaderChoice, now: float = 0.0
) -> tuple[str, str] | None:
    feed = choice.feed(now)
    return feed and (feed.node.name, feed.level.value)


def test_nodes_of_a_zone_agree() -> None:
    """Guards against a zone in which every node reads the store."""
    assert _followed(_choice("n1")) is None
    assert _followed(_choice("n2")) == ("n1", "zone")
    assert _followed(_choice("n3")) == ("n1", "zone")


def test_one_node_of_the_fleet_reads_the_store() -> None:
    """Guards against store calls that grow with the number of zones.

    Also guards against changes that cross to a zone more than once.
    """
    assert _followed(_choice("x1")) == ("n1", "fleet")
    assert _followed(_choice("x2")) == ("x1", "zone")
    assert _followed(_choice("y")) == ("n1", "fleet")


def test_relay_follows_the_next_reader() -> None:
    """Guards against a zone that stays behind when the reader fails."""
    choice = _choice("y")
    choice.suspect("n1", 0.0)
    assert _followed(choice, 1.0) == ("n2", "fleet")
    choice.suspect("n2", 1.0)
    choice.suspect("n3", 1.0)
    assert _followed(choice, 1.5) == ("x1", "fleet")
    choice.suspect("x1", 1.5)
    choice.suspect("x2", 1.5)
    assert _followed(choice, 2.0) is None
    assert _followed(choice, 3.5) == ("n1", "fleet")


def test_suspected_reader_is_skipped_for_a_while() -> None:
    """Guards against a node that keeps following a failed reader."""
    choice = _choice("n3")
    choice.suspect("n1", 0.0)
    assert _followed(choice, 1.0) == ("n2", "zone")
    choice.suspect("n2", 1.0)
    assert _followed(choice, 1.5) == ("x1", "fleet")
    assert _followed(choice, 3.5) == ("n1", "zone")


def test_node_without_a_list_reads_the_store() -> None:
    """Guards against a node that waits for a zone feed without a reader."""
    choice = reader_choice.ReaderChoice(node="n1", availability_zone="a")
    assert choice.feed(0.0) is None
