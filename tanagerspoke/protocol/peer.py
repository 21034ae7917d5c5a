"""Messages between the agents of entry hosts."""

import msgspec

from tanagerspoke.protocol import agent

SERVICE = "tanagerspoke.Peer"


class DrainMark(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream seen leaving; `age_ms` since it was first seen."""

    upstream_id: str
    age_ms: int


class GatewayStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration revision in force in one gateway."""

    gateway_id: str
    revision: int


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """State of one agent; the answer has the same form.

    Attributes:
        incarnation: start of the process, ms since the epoch; a restarted
            agent has a larger one.
        sequence: number of this heartbeat within the incarnation.
    """

    host: str
    incarnation: int
    sequence: int
    revision: int
    gateways: tuple[GatewayStatus, ...] = ()
    drain_marks: tuple[DrainMark, ...] = ()


class SnapshotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer for its configuration if newer than `have_revision`."""

    have_revision: int


class SnapshotReply(msgspec.Struct, frozen=True, kw_only=True):
    """The peer's whole configuration; no items where it is not newer."""

    revision: int
    items: tuple[agent.Item, ...]
