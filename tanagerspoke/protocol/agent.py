"""Messages between a gateway and the agent of its host.

Wire messages are frozen `msgspec.Struct` classes, because plain data classes
have no tagged unions in the codec.
"""

from typing import TypeAlias

import msgspec

from tanagerspoke.protocol import upstreams

SERVICE = "tanagerspoke.Agent"


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One declaration; `body` is its JSON text, empty where it is deleted."""

    kind: str
    name: str
    body: str


class SubscribeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for all updates; the first ones give the full state."""

    gateway_id: str


class ConfigUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Declarations that changed after `base_revision` (0: all of them)."""

    revision: int
    base_revision: int
    items: tuple[Item, ...]


class UpstreamsUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The whole list of upstreams."""

    upstreams: tuple[upstreams.Upstream, ...]


class DrainUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Upstreams that some host saw leaving."""

    upstream_ids: tuple[str, ...]


class ProbedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load report that a probe brought."""

    upstream_id: str
    load: upstreams.LoadReport


class LoadUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Load reports from probes."""

    reports: tuple[ProbedLoad, ...]


class FleetUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Number of live gateways, over which account limits are divided."""

    gateways: int


GatewayUpdate: TypeAlias = (
    ConfigUpdate | UpstreamsUpdate | DrainUpdate | LoadUpdate | FleetUpdate
)


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the right to run a write.

    Attributes:
        digest: SHA-256 of method, path and body, in hex.
        attempt_id: unique for each claim attempt of a gateway.
        deadline_ms: time left until the caller's deadline.
    """

    client_account: str
    service: str
    key: str
    digest: str
    attempt_id: str
    deadline_ms: int


class Granted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write may be dispatched once, by this attempt."""


class Replay(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write ran before; this is its answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class InProgress(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An earlier attempt still runs."""

    retry_after_s: float


class OutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An earlier attempt may have run; it is never run again."""


class KeyReused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The key was used before with another request."""


class StoreUnavailable(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The platform's table gave no proof of a claim; nothing may run."""

    retry_after_s: float


ClaimReply: TypeAlias = (
    Granted
    | Replay
    | InProgress
    | OutcomeUnknown
    | KeyReused
    | StoreUnavailable
)


class Finished(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write ran and gave this answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class NotRun(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write is proven not run; the claim is released."""


class Unknown(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write may have run."""


class CompleteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Reports the end of a claimed write."""

    client_account: str
    service: str
    key: str
    digest: str
    attempt_id: str
    result: Finished | NotRun | Unknown


class CompleteReply(msgspec.Struct, frozen=True, kw_only=True):
    """The agent took the result and writes it to the table."""


class ObserveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway saw since its last report.

    Attributes:
        revision: configuration revision in force in the gateway.
        draining: upstreams whose responses carried a draining mark.
        reported: upstreams that sent a load report lately.
    """

    gateway_id: str
    revision: int
    draining: tuple[str, ...]
    reported: tuple[str, ...]


class ObserveReply(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledges an observation."""
