"""Load view of the upstreams of one service, as one gateway sees it."""

from collections.abc import Iterable

from tanagerspoke.protocol import upstreams

# A report loses half of its weight against the service's mean in this time.
# Load shifts within milliseconds, so an older report says little.
_REPORT_HALF_LIFE_S = 0.05
# A slow upstream is tried again after about this time without a sample.
_SLOWNESS_HALF_LIFE_S = 2.0
# Weight of one sample. Pulls vary by size, so one of them says less.
_SHORT_CALL_WEIGHT = 0.2
_PULL_WEIGHT = 0.05
# Bounds one sample, so that a single straggler does not condemn an upstream.
_MAX_SLOWNESS_SAMPLE = 5.0
_FAILURE_HALF_LIFE_S = 0.5
_RAMP_S = 5.0
_RAMP_START = 0.1
_MEAN_WEIGHT = 0.05
# Weight of one report in the estimate of how far reports can be trusted.
_TRUST_WEIGHT = 0.01
# Slopes measured with bench.policy: 0.35 or more for fresh reports (the
# choice itself makes own and others' calls move apart), under 0.15 for reports
# of 50 ms or more.
_NO_TRUST_SLOPE = 0.1
_TRUST_SLOPE_RANGE = 0.25


class UpstreamLoad:
    """What is known about one upstream.

    Attributes:
        own: attempts of this gateway in flight; exact.
        own_pulls: those of them that are pulls.
        others: calls of other gateways when the last report came.
        host_slowness: slowness of the host in the last report.
        exact_until: time until which the last report counts as exact.
        slowness: attempt duration relative to the mean of the class.
        ejected_until: monotonic seconds.
    """

    __slots__ = (
        "upstream",
        "slots",
        "own",
        "own_pulls",
        "others",
        "reported_at",
        "host_slowness",
        "exact_until",
        "slowness",
        "sampled_at",
        "failure_load",
        "failed_at",
        "phase",
        "draining",
        "listed",
        "ramp_from",
        "ejected_until",
        "consecutive_failures",
        "ejections",
    )

    def __init__(self, *, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.slots = max(1, upstream.slots)
        self.own = 0
        self.own_pulls = 0
        self.others = 0.0
        self.reported_at = float("-inf")
        self.host_slowness = 1.0
        self.exact_until = float("-inf")
        self.slowness = 1.0
        self.sampled_at = float("-inf")
        self.failure_load = 0.0
        self.failed_at = 0.0
        self.phase = upstreams.UpstreamPhase.READY
        self.draining = False
        self.listed = True
        self.ramp_from: float | None = None
        self.ejected_until = 0.0
        self.consecutive_failures = 0
        self.ejections = 0

    @property
    def open(self) -> bool:
        """Whether the upstream may get new work, ejection aside."""
        return self.listed and not self.draining and not self.upstream.leaving

    def in_flight(
        self, *, now: float, mean_others: float, trust: float
    ) -> float:
        """Returns the expected calls in flight, failures included."""
        age = max(0.0, now - self.reported_at)
        weight = trust * _REPORT_HALF_LIFE_S / (_REPORT_HALF_LIFE_S + age)
        if now <= self.exact_until:
            weight = 1.0
        expected = mean_others + (self.others - mean_others) * weight
        if self.failure_load:
            expected += self.current_failure_load(now)
        return self.own + expected

    def report_age_s(self, now: float) -> float:
        """Returns the age of the last load report."""
        return now - self.reported_at

    def current_host_slowness(self, now: float) -> float:
        """Returns the reported slowness of the host, 1 once it is old."""
        age = max(0.0, now - self.reported_at)
        weight = _REPORT_HALF_LIFE_S / (_REPORT_HALF_LIFE_S + age)
        return 1.0 + (self.host_slowness - 1.0) * weight

    def current_slowness(self, now: float) -> float:
        """Returns the slowness, which returns to 1 without samples."""
        age = max(0.0, now - self.sampled_at)
        weight = _SLOWNESS_HALF_LIFE_S / (_SLOWNESS_HALF_LIFE_S + age)
        return 1.0 + (self.slowness - 1.0) * weight

    def current_failure_load(self, now: float) -> float:
        """Returns the load that stands for recent failures."""
        age = max(0.0, now - self.failed_at)
        return (
            self.failure_load
            * _FAILURE_HALF_LIFE_S
            / (_FAILURE_HALF_LIFE_S + age)
        )

    def limit(self, now: float) -> int:
        """Returns the most attempts of this gateway at the same time."""
        if self.ramp_from is None:
            return self.slots
        share = _RAMP_START + (now - self.ramp_from) / _RAMP_S
        if share >= 1.0:
            self.ramp_from = None
            return self.slots
        return max(1, int(self.slots * share))

    def learn_duration(self, *, ratio: float, pull: bool, now: float) -> None:
        """Takes the duration of an attempt relative to its class."""
        weight = _PULL_WEIGHT if pull else _SHORT_CALL_WEIGHT
        ratio = min(ratio, _MAX_SLOWNESS_SAMPLE)
        current = self.current_slowness(now)
        self.slowness = current + weight * (ratio - current)
        self.sampled_at = now

    def learn_slow(self, *, ratio: float, now: float) -> None:
        """Takes a lower bound of the duration of a running attempt."""
        if ratio > self.current_slowness(now):
            self.learn_duration(ratio=ratio, pull=False, now=now)

    def learn_failure(self, now: float) -> None:
        """Counts a failure as load: one that fails fast must not look idle."""
        self.failure_load = min(
            2.0 * self.slots, self.current_failure_load(now) + 1.0
        )
        self.failed_at = now


class LoadView:
    """The upstreams of one service and the mean load of other gateways."""

    def __init__(
        self, *, use_reports: bool = True, exact_for_s: float | None = None
    ) -> None:
        """Creates a view without upstreams.

        Args:
            use_reports: whether load reports count.
            exact_for_s: age up to which a report is taken as it is, where
                the upstreams are asked for their load; None where they are
                not.
        """
        self._use_reports = use_reports
        self._exact_for_s = exact_for_s
        self._records: dict[str, UpstreamLoad] = {}
        self.open: list[UpstreamLoad] = []
        self.mean_others = 0.0
        self.total_slots = 0
        self._mean_own = 1.0
        self._mean_reported = 1.0
        # As if fresh reports had come: a new gateway trusts them at first.
        self._variance = 0.1
        self._covariance = 0.1
        self.report_trust = 1.0

    def get(self, upstream_id: str) -> UpstreamLoad | None:
        """Returns the record of an upstream, also of one that is leaving."""
        return self._records.get(upstream_id)

    def replace(
        self, *, changed: Iterable[upstreams.Upstream], now: float
    ) -> None:
        """Takes the whole list; in-flight counts survive it."""
        first = not self._records
        for record in self._records.values():
            record.listed = False
        for upstream in changed:
            record = self._records.get(upstream.upstream_id)
            if (
                record is None
                or record.upstream.started_ms != upstream.started_ms
            ):
                record = UpstreamLoad(upstream=upstream)
                # At the start of the gateway every upstream is new to it.
                record.ramp_from = None if first else now
                self._records[upstream.upstream_id] = record
            record.upstream = upstream
            record.slots = max(1, upstream.slots)
            record.listed = True
        self._forget_idle()
        self._refresh()

    def mark_draining(self, upstream_id: str) -> None:
        """Gives the upstream no new work from here on."""
        record = self._records.get(upstream_id)
        if record is not None:
            record.draining = True
            self._refresh()

    def released(self, record: UpstreamLoad) -> None:
        """Forgets an upstream that left the list once it is idle."""
        if not record.listed:
            self._forget_idle()

    def report(
        self,
        *,
        record: UpstreamLoad,
        load: upstreams.LoadReport,
        now: float,
    ) -> None:
        """Takes a load report. Call it before the attempt's slot is freed."""
        if load.phase is not record.phase:
            self._change_phase(record, load.phase, now)
        if not self._use_reports:
            return
        self._weigh_reports(own=record.own, reported=load.in_flight)
        record.others = float(max(0, load.in_flight - record.own))
        record.reported_at = now
        record.host_slowness = load.host_slowness
        if self._exact_for_s is not None:
            record.exact_until = now + self._exact_for_s
        self.mean_others += _MEAN_WEIGHT * (record.others - self.mean_others)

    def _weigh_reports(self, *, own: int, reported: int) -> None:
        """Learns how far reports follow this gateway's own calls.

        The slope of the reported calls over the own ones, which a fresh
        report counts too, is near 1; that of a stale report is near 0.
        """
        self._mean_own += _TRUST_WEIGHT * (own - self._mean_own)
        self._mean_reported += _TRUST_WEIGHT * (reported - self._mean_reported)
        deviation = own - self._mean_own
        self._variance += _TRUST_WEIGHT * (
            deviation * deviation - self._variance
        )
        self._covariance += _TRUST_WEIGHT * (
            deviation * (reported - self._mean_reported) - self._covariance
        )
        slope = self._covariance / max(1e-9, self._variance)
        trust = (slope - _NO_TRUST_SLOPE) / _TRUST_SLOPE_RANGE
        self.report_trust = min(1.0, max(0.0, trust))

    def _change_phase(
        self,
        record: UpstreamLoad,
        phase: upstreams.UpstreamPhase,
        now: float,
    ) -> None:
        record.phase = phase
        if phase is upstreams.UpstreamPhase.DRAINING:
            record.draining = True
            self._refresh()
        elif phase is upstreams.UpstreamPhase.COLD:
            record.ramp_from = now

    def _forget_idle(self) -> None:
        gone = [
            upstream_id
            for upstream_id, record in self._records.items()
            if not record.listed and not record.own
        ]
        for upstream_id in gone:
            del self._records[upstream_id]

    def _refresh(self) -> None:
        self.open = [r for r in self._records.values() if r.open]
        self.total_slots = sum(r.slots for r in self.open)
