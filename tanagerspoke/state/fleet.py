"""Entry hosts, the number of their gateways, and drain marks.

An entry host runs gateways and one agent.
"""

from collections.abc import Iterable
import dataclasses

from tanagerspoke.protocol import peer
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import randomness

# Longer than the delay of the platform's host list (30 s) plus one or two
# missed polls. Each new observation of the draining upstream renews the mark.
DRAIN_MARK_TTL_S = 60.0

# A host is considered live until its last reported state is this old: the base
# time plus the time per known host. In a large fleet, states arrive less often
# and through other hosts.
_LIVENESS_TIMEOUT_BASE_S = 6.0
_LIVENESS_TIMEOUT_PER_HOST_S = 0.2


class DrainMarks:
    """Upstreams that were observed draining, with the time of observation.

    Messages carry the age of a mark, so it expires on all hosts at about the
    same time and agents cannot renew each other's old marks.
    """

    def __init__(self) -> None:
        self._seen_at: dict[str, float] = {}

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Marked upstreams, sorted by id."""
        return tuple(sorted(self._seen_at))

    def record(self, upstream_id: str, *, seen_at: float, now: float) -> None:
        """Records an observation; ignores it if a newer one is known."""
        if now - seen_at >= DRAIN_MARK_TTL_S:
            return
        known = self._seen_at.get(upstream_id)
        if known is None or seen_at > known:
            self._seen_at[upstream_id] = seen_at

    def expire(self, now: float) -> None:
        """Removes marks whose last observation is too old."""
        self._seen_at = {
            upstream_id: seen_at
            for upstream_id, seen_at in self._seen_at.items()
            if now - seen_at < DRAIN_MARK_TTL_S
        }

    def select_messages(
        self, *, limit: int, rng: randomness.Random, now: float
    ) -> tuple[peer.DrainMark, ...]:
        """Returns at most `limit` marks: the newest and a sample of older ones.

        The newest ones are sent first, so that they spread fast. The sample
        reaches hosts that missed earlier messages.
        """
        by_age = sorted(
            self._seen_at, key=lambda upstream_id: -self._seen_at[upstream_id]
        )
        newest_count = limit - limit // 4 if len(by_age) > limit else limit
        chosen = by_age[:newest_count]
        older = by_age[newest_count:]
        chosen += rng.sample(older, min(limit - len(chosen), len(older)))
        return tuple(
            peer.DrainMark(
                upstream_id=upstream_id,
                age_ms=max(0, int((now - self._seen_at[upstream_id]) * 1000)),
            )
            for upstream_id in chosen
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownHost:
    """Last reported state of a host.

    Attributes:
        last_seen_at: time at which the host reported it, in monotonic seconds.
    """

    summary: peer.HostSummary
    last_seen_at: float


class Fleet:
    """Hosts that the platform lists or that heartbeats mention."""

    def __init__(self, *, own_host: str) -> None:
        self._own_host = own_host
        self._listed: dict[str, tuple[str, int]] = {}
        self._known: dict[str, KnownHost] = {}

    def set_listed(self, hosts: Iterable[platform.HostEntry]) -> None:
        """Sets the platform's list.

        It may still contain removed hosts and lack new ones.
        """
        self._listed = {
            host.name: (host.address, host.port)
            for host in hosts
            if host.role == "entry" and host.name != self._own_host
        }

    def record_summary(self, summary: peer.HostSummary, *, now: float) -> bool:
        """Records a host's state; returns whether it is newer than the last."""
        if summary.host == self._own_host:
            return False
        known = self._known.get(summary.host)
        last_seen_at = now - summary.age_ms / 1000
        if known is not None:
            last = known.summary
            if (summary.incarnation, summary.sequence) <= (
                last.incarnation,
                last.sequence,
            ):
                return False
            last_seen_at = max(last_seen_at, known.last_seen_at)
        if now - last_seen_at >= self._liveness_timeout_s():
            return False
        self._known[summary.host] = KnownHost(
            summary=summary, last_seen_at=last_seen_at
        )
        return True

    def expire(self, now: float) -> None:
        """Removes hosts whose last reported state is too old."""
        timeout_s = self._liveness_timeout_s()
        self._known = {
            name: host
            for name, host in self._known.items()
            if now - host.last_seen_at < timeout_s
        }

    def discount_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the age of the states.

        No state is received while the process is paused, so without this all
        hosts would expire after a long pause.
        """
        self._known = {
            name: dataclasses.replace(
                host, last_seen_at=host.last_seen_at + pause_s
            )
            for name, host in self._known.items()
        }

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Returns address and port of each listed or live host.

        The address that a live host reports overrides the listed one.
        """
        reported = {
            name: (host.summary.address, host.summary.port)
            for name, host in self._known.items()
        }
        return self._listed | reported

    def live_hosts(self) -> tuple[KnownHost, ...]:
        """Returns the hosts whose last state is recent, except this one."""
        return tuple(self._known.values())

    def gateway_count(self) -> int:
        """Returns the number of gateways on the live hosts."""
        return sum(host.summary.gateways for host in self._known.values())

    def _liveness_timeout_s(self) -> float:
        return _LIVENESS_TIMEOUT_BASE_S + _LIVENESS_TIMEOUT_PER_HOST_S * len(
            self._known
        )
