"""What the nodes of a zone tell each other of the platform's store."""

import dataclasses
from typing import TypeAlias

import msgspec

from tanagerspoke.protocol import listing
from tanagerspoke.protocol import routing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Node:
    """An edge node that serves callers.

    Attributes:
        address: IP address that its peers reach it at.
        port: port of its news server.
        link_mbps: bandwidth of its host's link.
    """

    name: str
    availability_zone: str
    address: str
    port: int
    link_mbps: float


class RoutingNews(msgspec.Struct, frozen=True, kw_only=True, tag="routing"):
    """The newest routing table."""

    table: routing.RoutingTable


class UpstreamsNews(msgspec.Struct, frozen=True, kw_only=True, tag="upstreams"):
    """All entries of the list of upstreams that are in force.

    Attributes:
        position: position in the store's changes that they are as of.
    """

    position: int
    entries: tuple[listing.ListedUpstream, ...]


class NodesNews(msgspec.Struct, frozen=True, kw_only=True, tag="nodes"):
    """All listed nodes."""

    nodes: tuple[Node, ...]


class Alive(msgspec.Struct, frozen=True, kw_only=True, tag="alive"):
    """Sent at short intervals.

    Attributes:
        current: whether the sender reads the store without failures, so that
            its news are as new as the store's answers.
    """

    current: bool


News: TypeAlias = RoutingNews | UpstreamsNews | NodesNews | Alive
