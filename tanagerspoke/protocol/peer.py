"""Messages between the agents of entry hosts.

The decoder checks the bounds and rejects a message that exceeds them. Repeated
parts are encoded as arrays, since field names made up most of a heartbeat.
"""

from typing import Annotated

import msgspec

from tanagerspoke.protocol import agent

SERVICE = "tanagerspoke.Peer"

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class DrainMark(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A draining upstream; `age_ms` is the time since the last observation."""

    upstream_id: Name
    age_ms: NonNegativeInt


class GatewayStatus(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Configuration revision that is active in one gateway."""

    gateway_id: Name
    revision: NonNegativeInt


class HostSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one host, as its agent reported it.

    Attributes:
        incarnation: start time of the agent in ms since the Unix epoch; it
            grows with each restart.
        sequence: number of the heartbeat within the incarnation.
        gateways: number of its live gateways.
        revision: active configuration revision.
        age_ms: time since the agent reported this state.
    """

    host: Name
    address: Annotated[str, msgspec.Meta(min_length=2, max_length=45)]
    port: Port
    incarnation: NonNegativeInt
    sequence: NonNegativeInt
    gateways: Annotated[int, msgspec.Meta(ge=0, le=1024)]
    revision: NonNegativeInt
    age_ms: NonNegativeInt = 0


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """State of one agent; the reply has the same type.

    Attributes:
        sender: state of the sending host; its age is zero.
        gateways: active revisions of the sender's gateways.
        others: states of a few other hosts. They spread liveness through a
            large fleet, in which a host rarely contacts each other host.
        drain_marks: upstreams that were recently observed draining.
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
    """Requests a peer's configuration if it is newer than `have_revision`."""

    have_revision: NonNegativeInt


class SnapshotReply(msgspec.Struct, frozen=True, kw_only=True):
    """The peer's full configuration; no items if it is not newer.

    Attributes:
        digest: result of `revisions.digest_of` for the items.
    """

    revision: NonNegativeInt
    items: tuple[agent.ConfigItem, ...]
    digest: str = ""
