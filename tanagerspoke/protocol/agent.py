"""Messages between a gateway and the agent of its host.

The messages are frozen `msgspec.Struct` classes, because the codec supports
tagged unions only for these and not for plain data classes.
"""

from typing import TypeAlias

import msgspec

from tanagerspoke.protocol import upstreams

SERVICE = "tanagerspoke.Agent"


class ConfigItem(msgspec.Struct, frozen=True, kw_only=True):
    """One declaration; `body` is its JSON text, empty if it is deleted."""

    kind: str
    name: str
    body: str


class SubscribeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Subscribes to all updates; the first ones hold the full state."""

    gateway_id: str


class ConfigUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Declarations that changed after `base_revision` (0: all of them)."""

    revision: int
    base_revision: int
    items: tuple[ConfigItem, ...]


class UpstreamsUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The complete list of upstreams."""

    upstreams: tuple[upstreams.Upstream, ...]


class DrainUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Upstreams that a host reported as draining."""

    upstream_ids: tuple[str, ...]


class ProbedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load report that a probe returned."""

    upstream_id: str
    load: upstreams.LoadReport


class LoadUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Load reports from probes."""

    reports: tuple[ProbedLoad, ...]


class FleetUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Number of live gateways, among which account limits are divided."""

    gateways: int


GatewayUpdate: TypeAlias = (
    ConfigUpdate | UpstreamsUpdate | DrainUpdate | LoadUpdate | FleetUpdate
)


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the right to run a write.

    Attributes:
        key: idempotency key of the write.
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
    """The write already ran; this is its response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class InProgress(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An earlier attempt is still running."""

    retry_after_s: float


class OutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An earlier attempt may have run; the write must not run again."""


class KeyReused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The key was already used for a different request."""


class StoreUnavailable(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The platform's table did not confirm a claim; the write must not run."""

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
    """The write ran and returned this response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class NotRun(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write certainly did not run; the claim is released."""


class Unknown(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write may have run."""


class CompleteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Reports the result of a claimed write."""

    client_account: str
    service: str
    key: str
    digest: str
    attempt_id: str
    result: Finished | NotRun | Unknown


class CompleteReply(msgspec.Struct, frozen=True, kw_only=True):
    """The result is in the table, or was dropped because of its row's state."""


class ObserveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Observations of a gateway since its last report.

    Attributes:
        revision: configuration revision that is active in the gateway.
        draining: upstreams whose responses reported that they are draining.
        reported: upstreams that recently sent a load report.
    """

    gateway_id: str
    revision: int
    draining: tuple[str, ...]
    reported: tuple[str, ...]


class ObserveReply(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledges an observation."""
