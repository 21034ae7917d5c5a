"""Messages between the agents of entry hosts.

The bounds are checked by the decoder: a message outside them is refused. The
repeated parts are arrays, since field names made up most of a heartbeat.
"""

from typing import Annotated

import msgspec

from tanagerspoke.protocol import agent

SERVICE = "tanagerspoke.Peer"

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class DrainMark(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An upstream seen leaving; `age_ms` since it was last seen so."""

    upstream_id: Name
    age_ms: Count


class GatewayStatus(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Configuration revision in force in one gateway."""

    gateway_id: Name
    revision: Count


class HostSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of one host; `age_ms` since its agent said so.

    Attributes:
        incarnation: start of the agent, ms since the epoch; a restarted
            agent has a larger one.
        sequence: number of the heartbeat within the incarnation.
        gateways: number of its live gateways.
        revision: configuration revision in force.
    """

    host: Name
    address: Annotated[str, msgspec.Meta(min_length=2, max_length=45)]
    port: Port
    incarnation: Count
    sequence: Count
    gateways: Annotated[int, msgspec.Meta(ge=0, le=1024)]
    revision: Count
    age_ms: Count = 0


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """State of one agent; the answer has the same form.

    Attributes:
        sender: the agent itself; its age is zero.
        gateways: its gateways' revisions.
        others: a few other hosts, so that liveness spreads over a fleet
            in which one host rarely hears another directly.
    """

    sender: HostSummary
    gateways: Annotated[
        tuple[GatewayStatus, ...], msgspec.Meta(max_length=64)
    ] = ()
    others: Annotated[tuple[HostSummary, ...], msgspec.Meta(max_length=8)] = ()
    drain_marks: Annotated[
        tuple[DrainMark, ...], msgspec.Meta(max_length=64)
    ] = ()


class SnapshotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer for its configuration if newer than `have_revision`."""

    have_revision: Count


class SnapshotReply(msgspec.Struct, frozen=True, kw_only=True):
    """The peer's whole configuration; no items where it is not newer.

    Attributes:
        digest: `revisions.digest_of` the items.
    """

    revision: Count
    items: tuple[agent.Item, ...]
    digest: str = ""
