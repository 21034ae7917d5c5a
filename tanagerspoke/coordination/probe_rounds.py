"""Rounds of load probes before a call is sent.

A load report is outdated after some tens of milliseconds, and a call that
starts on a slow host stays slow. A probe costs a few milliseconds and shows
which hosts are fast now.
"""

from tanagerspoke.protocol import placement
from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads

# Age up to which a report counts as the upstream's current load.
MAX_FRESH_AGE_S = 0.025
# A host that is slower than usual by more than this factor only gets calls that
# can't wait longer for a faster one.
MAX_FAST_HOST_SLOWNESS = 1.5
# Time in which an upstream responds to a probe.
ROUND_DURATION_S = 0.015
# Probes in one round: few for a single queued call, more for many.
_MIN_ROUND_SIZE = 3
_MAX_ROUND_SIZE = 8
# Time without a report from any upstream after which calls no longer wait for
# fresh reports.
_RECENT_REPORT_S = 0.15
# Responses without a report after which the service counts as one that never
# reports load. Its health path may be served from the same slots as calls, so
# that further probes would only use up slots.
_MAX_RESPONSES_WITHOUT_REPORT = 3
# In a large fleet, a node has few calls and may send few probes a second. It
# saves unused ones for the calls that come together, up to four large rounds.
_MAX_SAVED_S = 5.0
_MAX_SAVED_PROBES = 32.0


class ProbeRounds:
    """Chooses upstreams to probe and limits the rate of probes."""

    def __init__(
        self, *, availability_zone: str, rate_per_upstream_s: float
    ) -> None:
        """Creates an instance without pending probes.

        Args:
            availability_zone: zone of this node, which is probed first.
            rate_per_upstream_s: limit, on average, of the probes that one
                upstream gets per second from all nodes together.
        """
        self._zone = availability_zone
        self._rate_per_upstream_s = rate_per_upstream_s
        # Start times of the probes that have not ended.
        self._pending: dict[str, float] = {}
        self._responses_without_report = 0
        self._any_report = False
        self._reported_at = float("-inf")
        self._tokens = 0.0
        self._rate_per_s = 0.0
        self._refilled_at: float | None = None

    @property
    def reports_load(self) -> bool:
        """Whether the service's upstreams are assumed to report their load."""
        return (
            self._any_report
            or self._responses_without_report < _MAX_RESPONSES_WITHOUT_REPORT
        )

    def has_recent_report(self, now: float) -> bool:
        """Returns whether an upstream reported its load recently."""
        return now - self._reported_at < _RECENT_REPORT_S

    def is_exhausted(self, *, now: float, until: float) -> bool:
        """Returns whether no round is under way or can start before `until`.

        Args:
            now: monotonic seconds.
            until: monotonic seconds.
        """
        if self._refilled_at is None or self._is_in_round(now):
            return False
        refill = (max(now, until) - self._refilled_at) * self._rate_per_s
        return self._tokens + refill < 1.0

    def record_report(self, now: float) -> None:
        """Records that an upstream reported its load."""
        self._any_report = True
        self._reported_at = now

    def end_probe(
        self, *, upstream_id: str, reported: bool, responded: bool
    ) -> None:
        """Records the end of a probe.

        Args:
            upstream_id: upstream that was probed.
            reported: whether the response carried a load report.
            responded: whether there was a response.
        """
        self._pending.pop(upstream_id, None)
        if reported:
            self._any_report = True
        elif responded:
            self._responses_without_report += 1

    def next_round(
        self,
        *,
        records: list[loads.UpstreamLoad],
        queued_calls: int,
        all_zones: bool,
        nodes: int,
        now: float,
    ) -> list[loads.UpstreamLoad]:
        """Returns upstreams to probe now; none during a round.

        A probe that takes longer than a round does not hold up the next one.

        Args:
            records: candidates, the preferred ones first.
            queued_calls: number of calls that wait for an upstream.
            all_zones: whether upstreams of other zones are probed as well.
            nodes: number of nodes that share the upstreams.
            now: monotonic seconds.
        """
        if not self.reports_load or self._is_in_round(now) or not records:
            return []
        self._refill(len(records), nodes, now)
        stale = [
            r
            for r in records
            if r.report_age_s(now) > MAX_FRESH_AGE_S
            and r.upstream.upstream_id not in self._pending
        ]
        if not all_zones:
            same_zone = [r for r in stale if self._is_same_zone(r.upstream)]
            stale = same_zone or stale
        round_size = min(max(queued_calls, _MIN_ROUND_SIZE), _MAX_ROUND_SIZE)
        chosen = stale[: min(round_size, int(self._tokens))]
        self._tokens -= len(chosen)
        self._pending.update((r.upstream.upstream_id, now) for r in chosen)
        return chosen

    def _is_in_round(self, now: float) -> bool:
        round_started_at = max(self._pending.values(), default=float("-inf"))
        return now - round_started_at < ROUND_DURATION_S

    def _is_same_zone(self, upstream: upstreams.Upstream) -> bool:
        return upstream.availability_zone == self._zone

    def _refill(self, upstream_count: int, nodes: int, now: float) -> None:
        rate_per_s = self._rate_per_upstream_s * upstream_count / nodes
        capacity = max(
            rate_per_s,
            min(_MAX_SAVED_PROBES, _MAX_SAVED_S * rate_per_s),
            _MIN_ROUND_SIZE,
        )
        if self._refilled_at is None:
            self._tokens = capacity
        else:
            refill = (now - self._refilled_at) * rate_per_s
            self._tokens = min(capacity, self._tokens + refill)
        self._rate_per_s = rate_per_s
        self._refilled_at = now


def fresh_host_slowness(record: loads.UpstreamLoad, now: float) -> float:
    """Returns the host's slowness by a fresh report, 1 without one."""
    if record.report_age_s(now) > MAX_FRESH_AGE_S:
        return 1.0
    return record.host_slowness


def why_not_fresh(
    record: loads.UpstreamLoad, now: float
) -> placement.Exclusion | None:
    """Returns why the load of an upstream is not known now, or None."""
    if record.report_age_s(now) > MAX_FRESH_AGE_S:
        return placement.Exclusion.NO_FRESH_REPORT
    return None


def why_not_fast(
    record: loads.UpstreamLoad, now: float
) -> placement.Exclusion | None:
    """Returns why no fresh report shows that the host is fast, or None."""
    if record.host_slowness > MAX_FAST_HOST_SLOWNESS:
        return why_not_fresh(record, now) or placement.Exclusion.SLOW_HOST
    return why_not_fresh(record, now)
