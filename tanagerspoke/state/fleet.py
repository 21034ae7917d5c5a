"""Entry hosts, their gateways, and drain marks."""

from collections.abc import Iterable
import dataclasses

from tanagerspoke.protocol import peer
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import randomness

# A mark outlives the lag of the platform's host list (30 s) and a missed
# poll or two. Whatever still sees the upstream draining renews it.
DRAIN_MARK_TTL_S = 60.0

# A host counts as live for this long after its last sign of life, plus a
# share for each known host, since in a large fleet signs of life travel
# over others and are rarer.
_LIVE_BASE_S = 6.0
_LIVE_PER_HOST_S = 0.2


class DrainMarks:
    """Upstreams seen leaving, with the time of the last sighting.

    The age of a mark travels with it, so a mark expires everywhere at about
    the same time and agents can't renew each other's old marks.
    """

    def __init__(self) -> None:
        self._seen_at: dict[str, float] = {}

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Marked upstreams in order of their names."""
        return tuple(sorted(self._seen_at))

    def note(self, upstream_id: str, *, seen_at: float, now: float) -> None:
        """Takes a sighting; an older one changes nothing."""
        if now - seen_at >= DRAIN_MARK_TTL_S:
            return
        known = self._seen_at.get(upstream_id)
        if known is None or seen_at > known:
            self._seen_at[upstream_id] = seen_at

    def expire(self, now: float) -> None:
        """Forgets marks that nobody renewed."""
        self._seen_at = {
            upstream_id: seen_at
            for upstream_id, seen_at in self._seen_at.items()
            if now - seen_at < DRAIN_MARK_TTL_S
        }

    def messages(
        self, *, limit: int, rng: randomness.Random, now: float
    ) -> tuple[peer.DrainMark, ...]:
        """Returns at most `limit` marks: the newest, and a sample of others.

        The newest spread fastest; the sample repairs what was lost.
        """
        by_age = sorted(
            self._seen_at, key=lambda upstream_id: -self._seen_at[upstream_id]
        )
        newest = limit - limit // 4 if len(by_age) > limit else limit
        chosen = by_age[:newest]
        others = by_age[newest:]
        chosen += rng.sample(others, min(limit - len(chosen), len(others)))
        return tuple(
            peer.DrainMark(
                upstream_id=upstream_id,
                age_ms=max(0, int((now - self._seen_at[upstream_id]) * 1000)),
            )
            for upstream_id in chosen
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownHost:
    """Last sign of life of a host; `alive_at` in monotonic seconds."""

    summary: peer.HostSummary
    alive_at: float


class Fleet:
    """Hosts that are listed by the platform or were heard of."""

    def __init__(self, *, own_host: str) -> None:
        self._own_host = own_host
        self._listed: dict[str, tuple[str, int]] = {}
        self._known: dict[str, KnownHost] = {}

    def set_listed(self, hosts: Iterable[platform.HostEntry]) -> None:
        """Takes the platform's list, which may be stale both ways."""
        self._listed = {
            host.name: (host.address, host.port)
            for host in hosts
            if host.role == "entry" and host.name != self._own_host
        }

    def note(self, summary: peer.HostSummary, *, now: float) -> bool:
        """Takes a sign of life; returns whether it is newer than the last."""
        if summary.host == self._own_host:
            return False
        known = self._known.get(summary.host)
        alive_at = now - summary.age_ms / 1000
        if known is not None:
            before = known.summary
            if (summary.incarnation, summary.sequence) <= (
                before.incarnation,
                before.sequence,
            ):
                return False
            alive_at = max(alive_at, known.alive_at)
        if now - alive_at >= self._live_s():
            return False
        self._known[summary.host] = KnownHost(
            summary=summary, alive_at=alive_at
        )
        return True

    def expire(self, now: float) -> None:
        """Forgets hosts without a recent sign of life."""
        live_s = self._live_s()
        self._known = {
            name: host
            for name, host in self._known.items()
            if now - host.alive_at < live_s
        }

    def shift(self, pause_s: float) -> None:
        """Takes a pause of this process out of the hosts' silence."""
        self._known = {
            name: dataclasses.replace(host, alive_at=host.alive_at + pause_s)
            for name, host in self._known.items()
        }

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Returns where each listed or live host may be reached.

        What a live host says of itself overrides the list.
        """
        heard = {
            name: (host.summary.address, host.summary.port)
            for name, host in self._known.items()
        }
        return self._listed | heard

    def live(self) -> tuple[KnownHost, ...]:
        """Returns the hosts with a recent sign of life, without this one."""
        return tuple(self._known.values())

    def gateways(self) -> int:
        """Returns the number of gateways on the live hosts."""
        return sum(host.summary.gateways for host in self._known.values())

    def _live_s(self) -> float:
        return _LIVE_BASE_S + _LIVE_PER_HOST_S * len(self._known)
