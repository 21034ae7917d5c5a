"""Estimated load of the upstreams of one service, as one process sees it."""

import collections
from collections.abc import Callable, Iterable, Mapping

from tanagerspoke.protocol import upstreams

# Age at which a report weighs as much as the mean of the service. Load changes
# within milliseconds, so older reports carry little information.
_REPORT_HALF_LIFE_S = 0.05
# Age at which half of a measured slowness remains, so that a slow upstream is
# tried again after about this time without a sample.
_SLOWNESS_HALF_LIFE_S = 2.0
# Weight of one sample in the moving average. The duration of a pull depends on
# its size, so its sample has less weight.
_SHORT_CALL_WEIGHT = 0.2
_PULL_WEIGHT = 0.05
# Upper bound of one sample, so that a single slow outlier does not exclude an
# upstream.
_MAX_SLOWNESS_SAMPLE = 5.0
# Age at which half of the load that represents failures remains.
_FAILURE_HALF_LIFE_S = 0.5
# The attempt limit of a new, cold or returning upstream starts at a share of
# its slots and grows by the number of slots within the ramp time.
_RAMP_DURATION_S = 5.0
_RAMP_START_SHARE = 0.1
# Weight of one report in the mean over the upstreams of the service.
_MEAN_REMOTE_WEIGHT = 0.05
# Weight of one report in the mean utilization, which must follow a burst.
_MEAN_UTILIZATION_WEIGHT = 0.1
# Weight of one report in the estimate of the trust in reports.
_TRUST_WEIGHT = 0.01
# The trust depends on the slope of a regression of reported on local calls, see
# `_update_report_trust`. It grows linearly from 0 at the first of these slopes
# to 1 at their sum. The slope is 0.35 or more for fresh reports; it stays below
# 1, since processes avoid upstreams that others use, so local and remote calls
# are negatively correlated. It is below 0.15 for reports that are 50 ms old or
# older.
_NO_TRUST_SLOPE = 0.1
_TRUST_SLOPE_RANGE = 0.25
# An upstream whose probe got no response is probed after the others for a time
# that doubles with each further one.
_MIN_PROBE_LAST_S = 0.25
_MAX_PROBE_LAST_S = 8.0
# Removed upstreams of a service whose health is remembered, in case a delayed
# write lists them again. Those removed first are forgotten first: they are the
# least likely to return, and they return with a reduced attempt limit.
_MAX_UNLISTED = 64
# Bounds the memory of recent reports.
_MAX_RECENT_REPORTS = 512


class UpstreamLoad:
    """Load and health of one upstream; times are in monotonic seconds.

    Attributes:
        local_in_flight: attempts of this process in flight; exact.
        local_pulls: pulls among these attempts.
        remote_in_flight: calls of other processes in the last report.
        reported_at: time of the last load report.
        host_slowness: slowness of the host in the last report.
        exact_until: time until which `remote_in_flight` is used without
            decay.
        slowness: attempt durations relative to the usual one, which is the
            mean of the call class or the median of the route.
        sampled_at: time of the last slowness sample.
        failure_load: load that represents failures, as of `failed_at`.
        draining: whether it gets no more calls, because it was reported as
            draining or another process listens at its address.
        listed: whether the upstream is in the current list.
        ramp_starts_at: start of the gradual increase of its attempt limit; in
            the future while it is ejected, None where the limit is not
            reduced.
        ramp_min_share: share of its slots that the ramp must have reached
            before this process sends it calls.
        ejected_until: end of its ejection.
        probe_failures: probes without a response since the last report.
        probe_last_until: time until which it is probed after the others,
            because its last probes got no response.
        paused_until: end of the pause that it asked for; it gets neither calls
            nor probes before.
        entry_cold_until: end of its cold period, in which it works slowly, by
            its entry in the list.
        health_cold_until: end of its cold period by its health responses.
        cold_until: the later of the two.
        evacuated: whether its availability zone is evacuated.
    """

    __slots__ = (
        "upstream",
        "slots",
        "local_in_flight",
        "local_pulls",
        "remote_in_flight",
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
        "ramp_starts_at",
        "ramp_min_share",
        "ejected_until",
        "paused_until",
        "entry_cold_until",
        "health_cold_until",
        "cold_until",
        "evacuated",
        "probe_failures",
        "probe_last_until",
        "consecutive_failures",
        "ejections",
    )

    def __init__(self, *, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.slots = max(1, upstream.slots)
        self.local_in_flight = 0
        self.local_pulls = 0
        self.remote_in_flight = 0.0
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
        self.ramp_starts_at: float | None = None
        self.ramp_min_share = 0.0
        self.ejected_until = 0.0
        self.paused_until = float("-inf")
        self.entry_cold_until = float("-inf")
        self.health_cold_until = float("-inf")
        self.cold_until = float("-inf")
        self.evacuated = False
        self.probe_failures = 0
        self.probe_last_until = float("-inf")
        self.consecutive_failures = 0.0
        self.ejections = 0

    @property
    def is_eligible(self) -> bool:
        """Whether the upstream may get new calls, unless it is ejected."""
        return (
            self.listed
            and not self.draining
            and not self.evacuated
            and not self.upstream.leaving
        )

    @property
    def reports_draining(self) -> bool:
        """Whether the upstream itself last reported that it is draining."""
        return self.phase is upstreams.UpstreamPhase.DRAINING

    def in_flight(
        self, *, now: float, mean_remote_in_flight: float, trust: float
    ) -> float:
        """Returns the estimated calls in flight, failure load included.

        Args:
            now: current time.
            mean_remote_in_flight: mean over the service's upstreams, which
                replaces the upstream's own report as that ages.
            trust: weight of a new report, from 0 to 1; see `report_trust`.
        """
        age = max(0.0, now - self.reported_at)
        weight = trust * _REPORT_HALF_LIFE_S / (_REPORT_HALF_LIFE_S + age)
        if now <= self.exact_until:
            weight = 1.0
        expected = (
            mean_remote_in_flight
            + (self.remote_in_flight - mean_remote_in_flight) * weight
        )
        if self.failure_load:
            expected += self.current_failure_load(now)
        return self.local_in_flight + expected

    def report_age_s(self, now: float) -> float:
        """Returns the age of the last load report."""
        return now - self.reported_at

    def current_host_slowness(self, now: float) -> float:
        """Returns the reported slowness of the host, which decays to 1."""
        age = max(0.0, now - self.reported_at)
        weight = _REPORT_HALF_LIFE_S / (_REPORT_HALF_LIFE_S + age)
        return 1.0 + (self.host_slowness - 1.0) * weight

    def current_slowness(self, now: float) -> float:
        """Returns the slowness, which decays to 1 without samples."""
        age = max(0.0, now - self.sampled_at)
        weight = _SLOWNESS_HALF_LIFE_S / (_SLOWNESS_HALF_LIFE_S + age)
        return 1.0 + (self.slowness - 1.0) * weight

    def current_failure_load(self, now: float) -> float:
        """Returns the load that represents recent failures."""
        age = max(0.0, now - self.failed_at)
        return (
            self.failure_load
            * _FAILURE_HALF_LIFE_S
            / (_FAILURE_HALF_LIFE_S + age)
        )

    def attempt_limit(self, now: float) -> int:
        """Returns the maximum number of concurrent attempts of this process."""
        # Before the start of its ramp, an upstream that is not excluded for
        # another reason is cold; `cold_upstreams` limits its calls.
        if self.ramp_starts_at is None or now < self.ramp_starts_at:
            return self.slots
        share = (
            _RAMP_START_SHARE + (now - self.ramp_starts_at) / _RAMP_DURATION_S
        )
        if share >= 1.0:
            self.ramp_starts_at = None
            self.ramp_min_share = 0.0
            return self.slots
        if share < self.ramp_min_share:
            return 0
        return max(1, int(self.slots * share))

    def record_duration(self, *, ratio: float, pull: bool, now: float) -> None:
        """Records an attempt's duration relative to the usual one."""
        weight = _PULL_WEIGHT if pull else _SHORT_CALL_WEIGHT
        ratio = min(ratio, _MAX_SLOWNESS_SAMPLE)
        current = self.current_slowness(now)
        self.slowness = current + weight * (ratio - current)
        self.sampled_at = now

    def record_min_duration(self, *, ratio: float, now: float) -> None:
        """Records a lower bound of an attempt's relative duration."""
        if ratio > self.current_slowness(now):
            self.record_duration(ratio=ratio, pull=False, now=now)

    def record_probe_failure(self, now: float) -> None:
        """Records a probe without a response."""
        delay_s = min(
            _MAX_PROBE_LAST_S, _MIN_PROBE_LAST_S * 2.0**self.probe_failures
        )
        self.probe_failures = min(16, self.probe_failures + 1)
        self.probe_last_until = now + delay_s

    def update_cold_until(self, *, ramps: bool, now: float) -> None:
        """Applies a change of one of the two ends of the cold period.

        Args:
            ramps: whether the attempt limit rises in a ramp after the end.
            now: current time.
        """
        before = self.cold_until
        self.cold_until = max(self.entry_cold_until, self.health_cold_until)
        if not ramps or max(before, self.cold_until) <= now:
            return
        ramp_starts_at = max(now, self.cold_until)
        if self.ramp_starts_at not in (None, before):
            ramp_starts_at = max(ramp_starts_at, self.ramp_starts_at)
        self.ramp_starts_at = ramp_starts_at

    def is_cold(self, now: float) -> bool:
        """Returns whether the upstream is cold."""
        return now < self.cold_until

    def record_failure(self, now: float) -> None:
        """Counts a failure as load.

        Otherwise an upstream that fails fast would appear idle.
        """
        self.failure_load = min(
            2.0 * self.slots, self.current_failure_load(now) + 1.0
        )
        self.failed_at = now


class LoadView:
    """Upstreams of one service and their mean load by other processes.

    Attributes:
        eligible: upstreams that may get new calls, unless they are ejected.
        mean_remote_in_flight: moving average of `remote_in_flight` over the
            reports of all upstreams.
        mean_utilization: moving average of the calls in flight per slot over
            the reports of all upstreams.
        total_slots: slots of the eligible upstreams.
        report_trust: weight of a new report relative to the mean, 0 to 1.
    """

    def __init__(
        self,
        *,
        use_reports: bool = True,
        exact_for_s: float | None = None,
        position: Callable[[str], float] = lambda upstream_id: 0.0,
    ) -> None:
        """Creates a view without upstreams.

        Args:
            use_reports: whether load reports are used.
            exact_for_s: age up to which reported calls are used without decay;
                None where they decay from the start.
            position: returns the position of this process, from 0 to 1, in
                the order in which processes send calls to an upstream whose
                zone returns.
        """
        self._position = position
        self._use_reports = use_reports
        self._exact_for_s = exact_for_s
        self._records: dict[str, UpstreamLoad] = {}
        self.eligible: list[UpstreamLoad] = []
        self.mean_remote_in_flight = 0.0
        self.mean_utilization = 0.0
        self.total_slots = 0
        self._last_pause_ends_at = float("-inf")
        self._last_cold_ends_at = float("-inf")
        self._evacuated_zones: frozenset[str] = frozenset()
        # Reports in the order in which they arrived, with their times.
        self._recent: collections.deque[tuple[float, UpstreamLoad]] = (
            collections.deque(maxlen=_MAX_RECENT_REPORTS)
        )
        self._mean_local = 1.0
        self._mean_reported = 1.0
        # Initial values as for fresh reports, so a new process trusts reports.
        self._variance = 0.1
        self._covariance = 0.1
        self.report_trust = 1.0

    @property
    def listed(self) -> list[UpstreamLoad]:
        """The upstreams of the current list, also those that are leaving."""
        return [r for r in self._records.values() if r.listed]

    def get(self, upstream_id: str) -> UpstreamLoad | None:
        """Returns the record of an upstream, also of one that is draining."""
        return self._records.get(upstream_id)

    def set_upstreams(
        self, *, listed: Iterable[upstreams.Upstream], now: float
    ) -> None:
        """Sets the complete list; counts of attempts in flight are kept."""
        was_listed = {
            upstream_id
            for upstream_id, record in self._records.items()
            if record.listed
        }
        for record in self._records.values():
            record.listed = False
        for upstream in listed:
            record = self._records.get(upstream.upstream_id)
            is_new = upstream.upstream_id not in was_listed
            if (
                record is None
                or record.upstream.started_ms != upstream.started_ms
            ):
                record = UpstreamLoad(upstream=upstream)
                self._records[upstream.upstream_id] = record
                is_new = True
            # If no upstream was listed, as at the start, the limits must not be
            # reduced at all of them.
            if is_new and was_listed and not record.local_in_flight:
                record.ramp_starts_at = max(now, record.ramp_starts_at or now)
            drain_ended = record.upstream.leaving and not upstream.leaving
            has_moved = (record.upstream.address, record.upstream.port) != (
                upstream.address,
                upstream.port,
            )
            if (drain_ended or has_moved) and not record.reports_draining:
                record.draining = False
            record.upstream = upstream
            record.slots = max(1, upstream.slots)
            record.listed = True
            self._set_evacuated(record, now)
        for upstream_id, record in list(self._records.items()):
            if not record.listed and upstream_id in was_listed:
                # Moves it to the end, so that the records of removed upstreams
                # are in the order of removal.
                self._records[upstream_id] = self._records.pop(upstream_id)
        self._forget_unlisted()
        self._refresh_eligible()

    def set_evacuated_zones(self, zones: frozenset[str], now: float) -> None:
        """Sets the zones whose upstreams get nothing more.

        When a zone returns, the attempt limits of its upstreams rise in a
        ramp, and so does the share of the processes that send them calls:
        one call of each of them would fill an upstream at once. Without
        upstreams in other zones, all processes begin together.
        """
        self._evacuated_zones = zones
        has_others = bool(self.eligible)
        for record in self._records.values():
            if self._set_evacuated(record, now) and has_others:
                record.ramp_min_share = self._position(
                    record.upstream.upstream_id
                )
        self._refresh_eligible()

    def _set_evacuated(self, record: UpstreamLoad, now: float) -> bool:
        """Returns whether the upstream's zone has returned."""
        evacuated = record.upstream.availability_zone in self._evacuated_zones
        has_returned = record.evacuated and not evacuated
        if has_returned:
            record.ramp_starts_at = max(now, record.ramp_starts_at or now)
        record.evacuated = evacuated
        return has_returned

    def set_cold_until(
        self, cold_until: Mapping[str, float], *, ramps: bool, now: float
    ) -> None:
        """Sets the ends of cold periods that entries state, by upstream.

        `ramps` is as in `UpstreamLoad.update_cold_until`.
        """
        for upstream_id, until in cold_until.items():
            record = self._records.get(upstream_id)
            if record is not None and record.entry_cold_until != until:
                record.entry_cold_until = until
                record.update_cold_until(ramps=ramps, now=now)
                self._last_cold_ends_at = max(self._last_cold_ends_at, until)

    def apply_cold_notice(
        self,
        upstream: upstreams.Upstream,
        cold_s: float,
        *,
        ramps: bool,
        now: float,
    ) -> None:
        """Sets the end of a cold period that a health response states.

        A notice of an earlier process with the same id is ignored. `ramps` is
        as in `UpstreamLoad.update_cold_until`.
        """
        record = self._records.get(upstream.upstream_id)
        if record is None or record.upstream.started_ms != upstream.started_ms:
            return
        until = record.health_cold_until = now + cold_s
        record.update_cold_until(ramps=ramps, now=now)
        self._last_cold_ends_at = max(self._last_cold_ends_at, until)

    def has_cold(self, now: float) -> bool:
        """Returns whether an eligible upstream is cold."""
        if now >= self._last_cold_ends_at:
            return False
        return any(r.is_cold(now) for r in self.eligible)

    def cold_count(self, now: float) -> int:
        """Returns the number of eligible upstreams that are cold."""
        return sum(r.is_cold(now) for r in self.eligible)

    def in_flight(self, record: UpstreamLoad, now: float) -> float:
        """Returns the estimated calls in flight at one of the upstreams."""
        return record.in_flight(
            now=now,
            mean_remote_in_flight=self.mean_remote_in_flight,
            trust=self.report_trust,
        )

    def mark_draining(self, upstream_id: str) -> None:
        """Excludes the upstream from new calls."""
        record = self._records.get(upstream_id)
        if record is not None:
            record.draining = True
            self._refresh_eligible()

    def apply_notice(
        self,
        upstream: upstreams.Upstream,
        notice: upstreams.Notice,
        now: float,
    ) -> None:
        """Excludes an upstream that is leaving or asked for a pause.

        After the pause, its attempt limit rises in a ramp. A notice of an
        earlier process with the same id is ignored.
        """
        record = self._records.get(upstream.upstream_id)
        if record is None or record.upstream.started_ms != upstream.started_ms:
            return
        if notice.pause_s is not None:
            record.paused_until = max(record.paused_until, now + notice.pause_s)
            record.ramp_starts_at = max(record.paused_until, record.cold_until)
            self._last_pause_ends_at = max(
                self._last_pause_ends_at, record.paused_until
            )
        if notice.leaving:
            self.mark_draining(upstream.upstream_id)

    def paused_until(self, now: float) -> float | None:
        """Returns the end of the first pause, or None if an upstream has none.

        Upstreams that may get no calls for other reasons don't count.
        """
        if now >= self._last_pause_ends_at:
            return None
        first_end = min((r.paused_until for r in self.eligible), default=now)
        return first_end if first_end > now else None

    def remove_if_idle(self, record: UpstreamLoad) -> None:
        """Forgets removed upstreams beyond the limit once they are idle."""
        if not record.listed:
            self._forget_unlisted()

    def record_report(
        self,
        *,
        record: UpstreamLoad,
        load: upstreams.LoadReport,
        now: float,
    ) -> None:
        """Records a load report.

        To be called before the attempt that returned the report is removed
        from `local_in_flight`, since the report includes it.
        """
        if load.phase is not record.phase:
            self._set_phase(record, load.phase, now)
        if not self._use_reports:
            return
        self._update_report_trust(
            local=record.local_in_flight, reported=load.in_flight
        )
        record.remote_in_flight = float(
            max(0, load.in_flight - record.local_in_flight)
        )
        record.reported_at = now
        record.probe_failures = 0
        record.probe_last_until = float("-inf")
        self._recent.append((now, record))
        record.host_slowness = load.host_slowness
        if self._exact_for_s is not None:
            record.exact_until = now + self._exact_for_s
        self.mean_remote_in_flight += _MEAN_REMOTE_WEIGHT * (
            record.remote_in_flight - self.mean_remote_in_flight
        )
        self.mean_utilization += _MEAN_UTILIZATION_WEIGHT * (
            load.in_flight / record.slots - self.mean_utilization
        )

    def recently_reported(
        self, *, now: float, max_age_s: float
    ) -> list[UpstreamLoad]:
        """Returns the eligible upstreams whose last report is recent.

        Older reports are forgotten, so `max_age_s` must not grow.
        """
        while self._recent and now - self._recent[0][0] > max_age_s:
            self._recent.popleft()
        records = {id(record): record for _, record in self._recent}
        return [record for record in records.values() if record.is_eligible]

    def _update_report_trust(self, *, local: int, reported: int) -> None:
        """Updates the trust in reports from their relation to local calls.

        A fresh report includes the calls of this process. The slope of a
        linear regression of reported calls on local calls is therefore high
        for fresh reports and near 0 for stale ones.
        """
        self._mean_local += _TRUST_WEIGHT * (local - self._mean_local)
        self._mean_reported += _TRUST_WEIGHT * (reported - self._mean_reported)
        deviation = local - self._mean_local
        self._variance += _TRUST_WEIGHT * (
            deviation * deviation - self._variance
        )
        self._covariance += _TRUST_WEIGHT * (
            deviation * (reported - self._mean_reported) - self._covariance
        )
        slope = self._covariance / max(1e-9, self._variance)
        trust = (slope - _NO_TRUST_SLOPE) / _TRUST_SLOPE_RANGE
        self.report_trust = min(1.0, max(0.0, trust))

    def _set_phase(
        self,
        record: UpstreamLoad,
        phase: upstreams.UpstreamPhase,
        now: float,
    ) -> None:
        record.phase = phase
        if phase is upstreams.UpstreamPhase.DRAINING:
            record.draining = True
            self._refresh_eligible()
        elif phase is upstreams.UpstreamPhase.COLD:
            record.ramp_starts_at = now

    def _forget_unlisted(self) -> None:
        idle = [
            upstream_id
            for upstream_id, record in self._records.items()
            if not record.listed and not record.local_in_flight
        ]
        for upstream_id in idle[:-_MAX_UNLISTED]:
            del self._records[upstream_id]

    def _refresh_eligible(self) -> None:
        self.eligible = [r for r in self._records.values() if r.is_eligible]
        self.total_slots = sum(r.slots for r in self.eligible)
