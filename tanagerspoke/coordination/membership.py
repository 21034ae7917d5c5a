"""Heartbeats between agents: live hosts, drain marks, active revisions.

In each round every agent exchanges heartbeats with a few peers, and both
sides apply what they receive (push-pull gossip). Information reaches all
hosts of a fleet in a number of rounds that grows with the logarithm of its
size (Demers and others, PODC 1987).
"""

import dataclasses
from typing import TypeAlias

import msgspec

from tanagerspoke.protocol import peer
from tanagerspoke.protocol import randomness
from tanagerspoke.state import fleet

# Peers contacted in each round. With 5 hosts, 2 reach all peers within 2
# rounds; 3 would use up the whole byte budget.
FANOUT = 2

# Random variation of the round interval, as a share of it in both directions.
_ROUND_JITTER = 0.1

# Maximum time from a new drain mark on this host to the next round.
_MAX_DRAIN_MARK_DELAY_S = 0.3

# A peer that did not reply is contacted again after this time. At most one such
# peer is contacted in each round, so that a failed zone does not use up all
# heartbeats.
_FAILED_PEER_RETRY_S = 5.0

# If more than this many round intervals lie between two ticks, this process was
# paused, so missing heartbeats do not mean that the peers failed.
_MIN_PAUSE_INTERVALS = 4

# Limits of a heartbeat's size: drain marks, and hosts other than the sender.
_MAX_DRAIN_MARKS = 16
_MAX_OTHER_HOSTS = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReceived:
    """A valid heartbeat was received, as a request or a reply."""

    heartbeat: peer.Heartbeat


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatFailed:
    """A peer did not reply to a heartbeat."""

    host: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainObserved:
    """An upstream was just observed to be draining."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewaysChanged:
    """The live gateways of this host or their active revisions changed."""

    gateways: tuple[peer.GatewayStatus, ...]


Event: TypeAlias = (
    Tick | HeartbeatReceived | HeartbeatFailed | DrainObserved | GatewaysChanged
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendHeartbeat:
    """Exchange heartbeats with a peer."""

    host: str
    address: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainMarksChanged:
    """The set of upstreams with a drain mark changed."""

    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayCountChanged:
    """The number of live gateways of the whole fleet changed."""

    gateways: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerRevisionReceived:
    """A peer reported its active revision."""

    host: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RejectHeartbeat:
    """Reject the received heartbeat."""

    reason: str


Action: TypeAlias = (
    SendHeartbeat
    | DrainMarksChanged
    | GatewayCountChanged
    | PeerRevisionReceived
    | RejectHeartbeat
)


class Membership:
    """State machine of one agent.

    Args:
        host: name of this host.
        address: address at which peers reach this agent.
        port: port at which peers reach this agent.
        incarnation: start of this process in milliseconds since the epoch.
        interval_s: mean time between rounds.
        rng: for the jitter and the choice of peers.
        now: monotonic seconds.

    Attributes:
        fleet: the known hosts.
        marks: drain marks of this host and its peers.
    """

    def __init__(
        self,
        *,
        host: str,
        address: str,
        port: int,
        incarnation: int,
        interval_s: float,
        rng: randomness.Random,
        now: float,
    ) -> None:
        self._own_summary = peer.HostSummary(
            host=host,
            address=address,
            port=port,
            incarnation=incarnation,
            sequence=0,
            gateways=0,
            revision=0,
        )
        self._interval_s = interval_s
        self._rng = rng
        self._next_round = now
        self._last_tick = now
        self._contacted_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._gateways: tuple[peer.GatewayStatus, ...] = ()
        self._reported_marks: tuple[str, ...] = ()
        self._reported_gateways = -1
        self.fleet = fleet.Fleet(own_host=host)
        self.marks = fleet.DrainMarks()

    def heartbeat(self, *, revision: int, now: float) -> peer.Heartbeat:
        """Returns the next heartbeat of this agent.

        Args:
            revision: the active revision of this agent.
            now: monotonic seconds.
        """
        self._own_summary = _replace(
            self._own_summary,
            sequence=self._own_summary.sequence + 1,
            gateways=len(self._gateways),
            revision=revision,
            age_ms=0,
        )
        live = self.fleet.live_hosts()
        chosen = self._rng.sample(live, min(_MAX_OTHER_HOSTS, len(live)))
        return peer.Heartbeat(
            sender=self._own_summary,
            gateways=self._gateways,
            others=tuple(
                _replace(
                    known.summary,
                    age_ms=max(0, int((now - known.last_seen_at) * 1000)),
                )
                for known in chosen
            ),
            drain_marks=self.marks.select_messages(
                limit=_MAX_DRAIN_MARKS, rng=self._rng, now=now
            ),
        )

    def handle(self, *, event: Event, now: float) -> list[Action]:
        """Applies an event and returns the resulting actions.

        `now` is in monotonic seconds.
        """
        actions: list[Action] = []
        match event:
            case Tick():
                actions = self._tick(now)
            case HeartbeatReceived(heartbeat=heartbeat):
                actions = self._receive_heartbeat(heartbeat, now)
            case HeartbeatFailed(host=host):
                self._failed_at[host] = now
            case DrainObserved(upstream_id=upstream_id):
                self._record_draining(upstream_id, now)
            case GatewaysChanged(gateways=gateways):
                self._gateways = gateways
        return actions + self._report_changes()

    def _tick(self, now: float) -> list[Action]:
        elapsed_s = now - self._last_tick
        self._last_tick = now
        if elapsed_s > _MIN_PAUSE_INTERVALS * self._interval_s:
            self.fleet.discount_pause(elapsed_s)
        self.fleet.expire(now)
        self.marks.expire(now)
        if now < self._next_round:
            return []
        jitter = self._rng.uniform(1 - _ROUND_JITTER, 1 + _ROUND_JITTER)
        self._next_round = now + self._interval_s * jitter
        return [
            SendHeartbeat(host=host, address=address, port=port)
            for host, (address, port) in self._choose_peers(now)
        ]

    def _record_draining(self, upstream_id: str, now: float) -> None:
        if upstream_id not in self.marks.upstream_ids:
            # A new mark is sent before the next regular round.
            round_at = now + self._rng.uniform(0, _MAX_DRAIN_MARK_DELAY_S)
            self._next_round = min(self._next_round, round_at)
        self.marks.record(upstream_id, seen_at=now, now=now)

    def _choose_peers(self, now: float) -> list[tuple[str, tuple[str, int]]]:
        """Chooses the peers of a round and records that they are contacted.

        These are the healthy peers that were contacted the longest time ago,
        and at most one that failed.
        """
        addresses = self.fleet.addresses()
        self._drop_unknown_hosts(addresses)
        hosts = list(addresses)
        # Sorting is stable, so shuffling first breaks ties at random.
        # Without it all new agents would contact the same peers first.
        hosts = self._rng.sample(hosts, len(hosts))
        hosts.sort(key=lambda host: self._contacted_at.get(host, -1.0))
        healthy = [host for host in hosts if host not in self._failed_at]
        retry_due = [
            host
            for host, failed_at in self._failed_at.items()
            if now - failed_at >= _FAILED_PEER_RETRY_S
        ]
        chosen = healthy[:FANOUT]
        # With enough healthy peers, a failed one is contacted only in a quarter
        # of the rounds.
        if len(chosen) < FANOUT or self._rng.random() < 0.25:
            chosen += retry_due[:1]
        for host in chosen:
            self._contacted_at[host] = now
            if host in self._failed_at:
                self._failed_at[host] = now
        return [(host, addresses[host]) for host in chosen]

    def _drop_unknown_hosts(
        self, addresses: dict[str, tuple[str, int]]
    ) -> None:
        self._contacted_at = {
            host: at
            for host, at in self._contacted_at.items()
            if host in addresses
        }
        self._failed_at = {
            host: at
            for host, at in self._failed_at.items()
            if host in addresses
        }

    def _receive_heartbeat(
        self, heartbeat: peer.Heartbeat, now: float
    ) -> list[Action]:
        sender = heartbeat.sender
        if sender.host == self._own_summary.host:
            return [RejectHeartbeat(reason="own_host")]
        if sender.age_ms:
            return [RejectHeartbeat(reason="aged_sender")]
        self._failed_at.pop(sender.host, None)
        for mark in heartbeat.drain_marks:
            self.marks.record(
                mark.upstream_id, seen_at=now - mark.age_ms / 1000, now=now
            )
        is_newer = self.fleet.record_summary(sender, now=now)
        for summary in heartbeat.others:
            self.fleet.record_summary(summary, now=now)
        if not is_newer:
            return []
        return [
            PeerRevisionReceived(host=sender.host, revision=sender.revision)
        ]

    def _report_changes(self) -> list[Action]:
        actions: list[Action] = []
        upstream_ids = self.marks.upstream_ids
        if upstream_ids != self._reported_marks:
            self._reported_marks = upstream_ids
            actions.append(DrainMarksChanged(upstream_ids=upstream_ids))
        gateways = len(self._gateways) + self.fleet.gateway_count()
        if gateways != self._reported_gateways:
            self._reported_gateways = gateways
            actions.append(GatewayCountChanged(gateways=gateways))
        return actions


def _replace(summary: peer.HostSummary, **changes: int) -> peer.HostSummary:
    return msgspec.structs.replace(summary, **changes)
