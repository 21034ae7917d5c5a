"""Which upstreams are probed before a call is placed.

A report says little after some tens of milliseconds, and a call that starts on
a slow host stays slow. A probe costs a few milliseconds and tells which host
is fast now.
"""

from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads

# Age up to which a report stands for the upstream's load of this moment.
FRESH_S = 0.025
# A host that is this much slower than usual is left to calls that cannot wait.
FAST_HOST_SLOWNESS = 1.5
# Probes in one round: few for a single call, more where many wait.
_MIN_ROUND_SIZE = 3
_MAX_ROUND_SIZE = 8
# Silence of all upstreams after which fresh reports are not waited for.
_SILENCE_S = 0.15
# Answers without a report after which the service counts as one that tells no
# load; its health path may then wait for a slot like any request.
_SILENT_ANSWERS = 3


class ProbeRounds:
    """Chooses upstreams to probe, and bounds the probes of a service."""

    def __init__(
        self, *, availability_zone: str, rate_per_upstream_s: float
    ) -> None:
        """Creates it without probes.

        Args:
            availability_zone: zone of this node, which is probed first.
            rate_per_upstream_s: most probes that one upstream may get from
                all nodes together, on average.
        """
        self._zone = availability_zone
        self._rate_per_upstream_s = rate_per_upstream_s
        self._pending: set[str] = set()
        self._silent = 0
        self._told = False
        self._reported_at = float("-inf")
        self._tokens = 0.0
        self._filled_at: float | None = None

    @property
    def useful(self) -> bool:
        """Whether the service's upstreams tell their load."""
        return self._told or self._silent < _SILENT_ANSWERS

    def responsive(self, now: float) -> bool:
        """Returns whether some upstream told its load lately."""
        return now - self._reported_at < _SILENCE_S

    def note_report(self, now: float) -> None:
        """Notes that an upstream told its load."""
        self._told = True
        self._reported_at = now

    def ended(self, *, upstream_id: str, told: bool, answered: bool) -> None:
        """Takes the end of a probe."""
        self._pending.discard(upstream_id)
        if told:
            self._told = True
        elif answered:
            self._silent += 1

    def next_round(
        self,
        *,
        records: list[loads.UpstreamLoad],
        waiting: int,
        all_zones: bool,
        nodes: int,
        now: float,
    ) -> list[loads.UpstreamLoad]:
        """Returns upstreams to probe now; none while a round is under way.

        Args:
            records: upstreams that may be chosen, the most promising first.
            waiting: calls that wait for an upstream.
            all_zones: whether upstreams of other zones are probed as well.
            nodes: nodes that share the upstreams.
            now: monotonic seconds.
        """
        if not self.useful or self._pending or not records:
            return []
        self._fill(len(records), nodes, now)
        stale = [r for r in records if r.report_age_s(now) > FRESH_S]
        if not all_zones:
            near = [r for r in stale if self._is_near(r.upstream)]
            stale = near or stale
        size = min(max(waiting, _MIN_ROUND_SIZE), _MAX_ROUND_SIZE)
        chosen = stale[: min(size, int(self._tokens))]
        self._tokens -= len(chosen)
        self._pending.update(r.upstream.upstream_id for r in chosen)
        return chosen

    def _is_near(self, upstream: upstreams.Upstream) -> bool:
        return upstream.availability_zone == self._zone

    def _fill(self, count: int, nodes: int, now: float) -> None:
        rate = self._rate_per_upstream_s * count / nodes
        if self._filled_at is None:
            self._tokens = rate
        else:
            filled = (now - self._filled_at) * rate
            self._tokens = min(rate, self._tokens + filled)
        self._filled_at = now


def is_fast(record: loads.UpstreamLoad, now: float) -> bool:
    """Returns whether a fresh report says that the host is fast."""
    return (
        record.report_age_s(now) <= FRESH_S
        and record.host_slowness <= FAST_HOST_SLOWNESS
    )
