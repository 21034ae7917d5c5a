"""Chooses the upstream of an attempt: fast hosts first, cold ones last."""

from collections.abc import Callable, Iterator
import dataclasses
import functools
import math

from tanagerspoke.coordination import balancing
from tanagerspoke.coordination import call_attempts
from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import route_statistics
from tanagerspoke.coordination import target_queue
from tanagerspoke.coordination.cold_upstreams import cold_choice
from tanagerspoke.coordination.placements import candidates
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import randomness
from tanagerspoke.state import loads

# Longest time that a call waits for a fast host while no upstream reports its
# load.
_MAX_WAIT_WITHOUT_REPORTS_S = 0.05
# Time before its expiry from which a queued call also accepts a nearly idle
# upstream on a slow host.
_SLOW_HOST_FALLBACK_S = 0.05
# Largest share of an upstream's slots in use, the call included, where the
# upstream counts as nearly idle: one slot of three or four. Late calls wait for
# such an upstream.
_LATE_CALL_MAX_UTILIZATION = 0.4
# Draw that stands for most of those by which some calls take the last slot of
# an upstream.
_USUAL_DRAW = 1.0
# Mean utilization of a service's upstreams below which it has room, unless more
# calls of this node wait than it has slots: at twice the load, all slots would
# be in use.
_MAX_MEAN_UTILIZATION = 0.5
# The load of upstreams is partly an estimate, so emptier ones are safer.
_ESTIMATED_UTILIZATION_WEIGHT = 8.0
# The load in fresh reports is exact, so calls in flight are a small risk.
_REPORTED_UTILIZATION_WEIGHT = 1.0
# Largest share of an upstream's slots in use, the call included, while
# saturated upstreams are slow: all slots but one of three or four. Above it, an
# upstream counts as saturated.
MAX_UNSATURATED_UTILIZATION = 0.85


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """Which upstreams one step of a choice considers.

    Attributes:
        need_free_slot: only those with a free slot that were not tried.
        fast_only: only those with a fresh report of a fast host.
        fresh_only: only those with a fresh report.
        cold_only: only cold ones; otherwise they are left out.
        avoids_unlimited_cold: also leaves out cold ones whose calls are not
            limited.
        use_fair_share: also those that are estimated to be full, while this
            node uses less than its share of the slots.
        max_utilization: largest share of the slots in use, the call included;
            None where only the draw for the last slot limits it.
    """

    need_free_slot: bool = False
    fast_only: bool = False
    fresh_only: bool = False
    cold_only: bool = False
    avoids_unlimited_cold: bool = False
    use_fair_share: bool = False
    max_utilization: float | None = None


# Created once, since nearly every choice begins with one of them.
_FAST = Options(fast_only=True)
_FAIR_SHARE = Options(use_fair_share=True)


class UpstreamChoice:
    """Chooses upstreams for the calls of one service."""

    def __init__(
        self,
        *,
        view: loads.LoadView,
        balancer: balancing.Balancer,
        cold: cold_choice.ColdChoice,
        gate: dispatch_gate.CombinedGate,
        probes: probe_rounds.ProbeRounds,
        statistics: route_statistics.RouteStatistics,
        queue: target_queue.TargetQueue,
        rng: randomness.Random,
        nodes: Callable[[], int],
        local_in_flight: Callable[[], int],
    ) -> None:
        """Creates an instance that follows the changes of its arguments.

        Args:
            view: the service's upstreams.
            balancer: chooses among upstreams that may get the call.
            cold: decides on the use of cold upstreams.
            gate: leaves out upstreams for reasons of its own.
            probes: load reports that may still be expected.
            statistics: attempt durations by route.
            queue: calls that wait at this node.
            rng: random number generator.
            nodes: returns the number of live nodes that share the upstreams.
            local_in_flight: returns the attempts of this node in flight.
        """
        self._view = view
        self._balancer = balancer
        self._cold = cold
        self._gate = gate
        self._probes = probes
        self._statistics = statistics
        self._queue = queue
        self._rng = rng
        self._nodes = nodes
        self._local_in_flight = local_in_flight

    def choose_for_queued(
        self,
        state: call_attempts.CallState,
        queued_call: target_queue.QueuedCall,
        now: float,
    ) -> loads.UpstreamLoad | None:
        """Returns the upstream that a queued call starts on now, or None."""
        for options in self._steps(
            queued_call,
            queued_at=state.queued_at,
            queued_calls=len(self._queue),
            now=now,
            at=now,
        ):
            record = self._choose(state, options, now)
            if record is not None:
                return record
        return None

    def choose_for_hedge(
        self,
        state: call_attempts.CallState,
        now: float,
        *,
        avoids_unlimited_cold: bool,
    ) -> loads.UpstreamLoad | None:
        """Returns the upstream that a hedge is sent to, or None."""
        options = Options(
            need_free_slot=True,
            fast_only=self._probes.reports_load,
            avoids_unlimited_cold=avoids_unlimited_cold,
        )
        return self._choose(state, options, now)

    def assess_for_queued(
        self,
        state: call_attempts.CallState,
        queued_call: target_queue.QueuedCall,
        now: float,
        *,
        at: float,
    ) -> candidates.Assessments:
        """Returns what `choose_for_queued` would make of each upstream.

        No state changes. The result holds costs for one step at most, that in
        which an upstream is found. An upstream that this step does not
        consider, as it is cold or is not, has the reason of an earlier step.

        Args:
            state: a call that is not in the queue yet.
            queued_call: the same call as it would be queued.
            now: monotonic seconds.
            at: time up to which the call is assumed to have waited; the load
                of upstreams is that of `now`.
        """
        merged: dict[str, placement.Exclusion | float] = {}
        for options in self._steps(
            queued_call,
            queued_at=state.queued_at,
            queued_calls=len(self._queue) + 1,
            now=now,
            at=at,
        ):
            step = self._balancer.assess(
                self._query(state, options, now, draw=_USUAL_DRAW)
            )
            for record in self._view.eligible:
                upstream_id = record.upstream.upstream_id
                is_considered = (
                    self._cold.is_cold(record, now) == options.cold_only
                )
                if is_considered or upstream_id not in merged:
                    merged[upstream_id] = step[upstream_id]
            if any(
                not isinstance(a, placement.Exclusion) for a in step.values()
            ):
                break
        return merged

    def has_room(self, queued_calls: int) -> bool:
        """Returns whether late calls take no slot that others need.

        Args:
            queued_calls: calls that wait at this node.
        """
        own_slots = self._view.total_slots / self._nodes()
        return (
            self._view.mean_utilization < _MAX_MEAN_UTILIZATION
            and queued_calls <= max(1.0, own_slots)
        )

    def wait_ends_at(
        self,
        queued_call: target_queue.QueuedCall,
        *,
        queued_at: float,
        queued_calls: int,
        now: float,
    ) -> float:
        """Returns when a queued call stops waiting for a fast host.

        Args:
            queued_call: the call.
            queued_at: monotonic seconds at which it was queued.
            queued_calls: calls that wait at this node, this one included.
            now: monotonic seconds.
        """
        return self._wait_ends_at(
            queued_call,
            queued_at=queued_at,
            has_room=self.has_room(queued_calls),
            now=now,
        )

    def _wait_ends_at(
        self,
        queued_call: target_queue.QueuedCall,
        *,
        queued_at: float,
        has_room: bool,
        now: float,
    ) -> float:
        # Without a probe the call would wait for nothing: no report could show
        # it a fast host before it is late.
        if has_room and self._probes.is_exhausted(
            now=now, until=queued_call.latest_start_at
        ):
            return now
        if not self._probes.has_recent_report(now):
            return queued_at + _MAX_WAIT_WITHOUT_REPORTS_S
        return queued_call.expires_at - _SLOW_HOST_FALLBACK_S

    def _steps(
        self,
        queued_call: target_queue.QueuedCall,
        *,
        queued_at: float,
        queued_calls: int,
        now: float,
        at: float,
    ) -> Iterator[Options]:
        """Yields the steps of a choice until one finds an upstream.

        Calls wait for a fast host. While the service is busy, late calls only
        use nearly idle upstreams, which leaves slots to the calls of all nodes
        that can meet their target. Cold upstreams get what no other can take.

        Args: as those of `assess_for_queued` and `wait_ends_at`.
        """
        # The wait up to `at` counts as if the call had been queued earlier.
        cold_wait_from = queued_at - (at - now)
        if not self._probes.reports_load:
            yield _FAIR_SHARE
            if self._cold.may_use(queued_at=cold_wait_from, now=now):
                yield Options(cold_only=True)
            return
        has_room = self.has_room(queued_calls)
        max_utilization = (
            MAX_UNSATURATED_UTILIZATION
            if has_room
            else _LATE_CALL_MAX_UTILIZATION
        )
        late = at > queued_call.latest_start_at
        fast = _FAST
        if late:
            fast = Options(fast_only=True, max_utilization=max_utilization)
        yield fast
        if at < self._wait_ends_at(
            queued_call, queued_at=queued_at, has_room=has_room, now=now
        ):
            if self._cold.may_use(queued_at=cold_wait_from, now=now):
                yield Options(
                    cold_only=True,
                    fresh_only=True,
                    max_utilization=fast.max_utilization,
                )
            return
        yield Options(max_utilization=max_utilization)
        if self._cold.may_use(queued_at=cold_wait_from, now=now):
            yield Options(cold_only=True, max_utilization=max_utilization)

    def _choose(
        self, state: call_attempts.CallState, options: Options, now: float
    ) -> loads.UpstreamLoad | None:
        draw = None
        if options.max_utilization is None:
            draw = self._rng.random()
        # Only upstreams with a fresh report can be known to be fast. They are
        # few, and a sample of all upstreams would miss most of them.
        reported = None
        if options.fast_only or options.fresh_only:
            reported = self._view.recently_reported(
                now=now, max_age_s=probe_rounds.MAX_FRESH_AGE_S
            )
        return self._balancer.choose_for(
            self._query(state, options, now, draw=draw), reported
        )

    def _query(
        self,
        state: call_attempts.CallState,
        options: Options,
        now: float,
        *,
        draw: float | None,
    ) -> balancing.Query:
        """Returns the conditions of a step.

        Args:
            state: the call.
            options: the step.
            now: monotonic seconds.
            draw: random number from 0 to 1 that decides whether the call may
                take the last slot of an upstream; unused where the options
                limit the utilization.
        """
        tried = state.tried
        # A retry may use an upstream again if there is no other. A hedge may
        # not: it would be as slow as the first attempt.
        if not options.need_free_slot and len(tried) >= len(
            self._view.eligible
        ):
            tried = ()
        max_utilization = options.max_utilization
        if max_utilization is None and not self._statistics.may_use_last_slot(
            draw
        ):
            max_utilization = MAX_UNSATURATED_UTILIZATION
        use_fair_share = options.use_fair_share and (
            self._local_in_flight()
            < max(1, math.ceil(self._view.total_slots / self._nodes()))
        )
        return balancing.Query(
            call_class=calls.CallClass.LOOKUP,
            typical_latency_s=self._statistics.quantile_s(state.call, 0.5),
            now=now,
            tried=tried,
            use_fair_share=use_fair_share,
            need_free_slot=(
                options.need_free_slot
                or options.fast_only
                or options.fresh_only
            ),
            max_utilization=max_utilization,
            utilization_weight=(
                _REPORTED_UTILIZATION_WEIGHT
                if options.fast_only
                else _ESTIMATED_UTILIZATION_WEIGHT
            ),
            reject=self._rejection(options, now),
        )

    def _rejection(
        self, options: Options, now: float
    ) -> Callable[[loads.UpstreamLoad], placement.Exclusion | None] | None:
        """Returns a function that returns why an upstream is left out."""
        if not (
            self._gate.limits_upstreams
            or options.avoids_unlimited_cold
            or self._cold.has_any(now)
        ):
            if not options.fast_only:
                return None
            return functools.partial(probe_rounds.why_not_fast, now=now)

        def reject(record: loads.UpstreamLoad) -> placement.Exclusion | None:
            is_cold = self._cold.is_cold(
                record, now, include_unlimited=options.avoids_unlimited_cold
            )
            if is_cold != options.cold_only:
                if is_cold:
                    return placement.Exclusion.COLD
                return placement.Exclusion.NOT_COLD
            reason = None
            if options.fast_only:
                reason = probe_rounds.why_not_fast(record, now)
            elif options.fresh_only:
                reason = probe_rounds.why_not_fresh(record, now)
            return reason or self._gate.why_not_admitted(record.upstream, now)

        return reject
