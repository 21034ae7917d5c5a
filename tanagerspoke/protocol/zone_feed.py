"""Updates that the edge nodes of a zone send each other.

One node of a zone reads the platform's store; the others receive its contents
as these messages.
"""

import dataclasses
from typing import Annotated, TypeAlias

import msgspec

from tanagerspoke.protocol import listing
from tanagerspoke.protocol import ranges
from tanagerspoke.protocol import routing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Node:
    """An edge node that serves callers.

    Attributes:
        address: IP address at which the other nodes of the zone reach it.
        port: port of its zone feed server.
        link_mbps: bandwidth of its host's link.
    """

    name: str
    availability_zone: str
    address: str
    port: ranges.Port
    link_mbps: ranges.LinkMbps


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeList:
    """The nodes that are listed in the store.

    Attributes:
        problems: rows that hold no valid node.
    """

    nodes: tuple[Node, ...]
    problems: tuple[listing.RowProblem, ...] = ()


class RoutingUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="routing"):
    """The newest routing table."""

    table: routing.RoutingTable


class UpstreamsUpdate(
    msgspec.Struct, frozen=True, kw_only=True, tag="upstreams"
):
    """All entries of the list of upstreams that the sender uses.

    Attributes:
        position: position in the store's change history that the entries
            reflect.
    """

    position: ranges.Position
    entries: tuple[listing.ListedUpstream, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavingUpstream:
    """A process of an upstream that stated that it is leaving."""

    upstream_id: ranges.Name
    started_ms: ranges.UnixMs


class LeavingUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="leaving"):
    """Upstreams that stated in a response that they are leaving.

    A node learns this from its own calls. It tells the node that reads the
    store, which tells the others of the zone. The message is small, so that
    it does not have to repeat the list of upstreams.
    """

    upstreams: Annotated[
        tuple[LeavingUpstream, ...], msgspec.Meta(max_length=1024)
    ]


class NodesUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="nodes"):
    """All listed nodes."""

    nodes: tuple[Node, ...]


class ZonesUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="zones"):
    """All evacuated availability zones.

    Attributes:
        position: position in the store's change history that the set
            reflects; an older one never replaces a newer one.
    """

    position: ranges.Position
    evacuated: tuple[ranges.Name, ...]


class Keepalive(msgspec.Struct, frozen=True, kw_only=True, tag="alive"):
    """Sent at short intervals, also when nothing changes.

    Attributes:
        current: whether the sender's reads of the store succeed, so that its
            updates are as recent as the store's replies.
    """

    current: bool


ZoneUpdate: TypeAlias = (
    RoutingUpdate
    | UpstreamsUpdate
    | LeavingUpdate
    | NodesUpdate
    | ZonesUpdate
    | Keepalive
)
