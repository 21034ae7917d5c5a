"""Chooses the node that a node follows instead of reading the store.

One node of the fleet reads the platform's store. One node of each zone, its
relay, follows that reader, and the other nodes of the zone follow the relay, so
that the store gets the calls of one node and each change crosses to a zone
once.
"""

from collections.abc import Iterable
import dataclasses
import enum

from tanagerspoke.protocol import zone_feed

# Time for which a node is not chosen after it provided no current zone feed.
_SUSPECT_DURATION_S = 3.0


class FeedLevel(enum.StrEnum):
    """Level of a feed: from the reader to a relay, or within a zone.

    Only a node that reads the store itself provides the first one. So no two
    nodes can follow each other, even if their lists of nodes differ.
    """

    FLEET = "fleet"
    ZONE = "zone"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowedFeed:
    """A feed to follow."""

    node: zone_feed.Node
    level: FeedLevel


def ranked(nodes: tuple[zone_feed.Node, ...]) -> tuple[zone_feed.Node, ...]:
    """Returns the nodes in the order in which they are chosen."""
    return tuple(sorted(nodes, key=lambda n: (-n.link_mbps, n.name)))


def first_by_zone(
    nodes: Iterable[zone_feed.Node],
) -> dict[str, zone_feed.Node]:
    """Returns the first node of each zone, in the order of the nodes."""
    first: dict[str, zone_feed.Node] = {}
    for node in nodes:
        first.setdefault(node.availability_zone, node)
    return first


class ReaderChoice:
    """Ranks the nodes of the fleet and of this node's zone by link speed.

    The nodes need not agree on the reader. If the followed node fails, a node
    follows the next one in the ranking, or reads the store when it is next
    itself.
    """

    def __init__(self, *, node: str, availability_zone: str) -> None:
        self._node = node
        self._zone = availability_zone
        self._ranked: tuple[zone_feed.Node, ...] = ()
        self._suspected_until: dict[str, float] = {}

    def set_nodes(self, nodes: tuple[zone_feed.Node, ...]) -> None:
        """Sets the listed nodes of all zones."""
        self._ranked = ranked(nodes)
        listed = {n.name for n in nodes}
        self._suspected_until = {
            name: until
            for name, until in self._suspected_until.items()
            if name in listed
        }

    def suspect(self, name: str, now: float) -> None:
        """Excludes a node from the choice for some time."""
        self._suspected_until[name] = now + _SUSPECT_DURATION_S

    def feed(self, now: float) -> FollowedFeed | None:
        """Returns the feed to follow; None if this node must read the store."""
        relays = first_by_zone(
            node
            for node in self._ranked
            if node.name == self._node
            or self._suspected_until.get(node.name, 0.0) <= now
        )
        relay = relays.get(self._zone)
        if relay is None:
            return None
        if relay.name != self._node:
            return FollowedFeed(node=relay, level=FeedLevel.ZONE)
        # The relays are in the order of the ranking.
        reader = next(iter(relays.values()))
        if reader.name == self._node:
            return None
        return FollowedFeed(node=reader, level=FeedLevel.FLEET)
