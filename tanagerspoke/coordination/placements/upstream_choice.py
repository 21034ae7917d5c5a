"""Chooses the upstream of an attempt: fast hosts first, cold ones last."""

from collections.abc import Callable
import functools
import math
from typing import Any

from tanagerspoke.coordination import balancing
from tanagerspoke.coordination import call_attempts
from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import route_statistics
from tanagerspoke.coordination import target_queue
from tanagerspoke.coordination.cold_upstreams import cold_choice
from tanagerspoke.coordination.second_attempts import decisions
from tanagerspoke.protocol import calls
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
# Options of the choice once a call no longer waits for a fast host.
CHOICE_AFTER_WAIT = {"max_utilization": _LATE_CALL_MAX_UTILIZATION}
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
        """Returns the upstream that a queued call starts on now, or None.

        Calls wait for a fast host. While the service is busy, late calls only
        use nearly idle upstreams, which leaves slots to the calls of all nodes
        that can meet their target.
        """
        if not self._probes.reports_load:
            return self.choose(
                state, now, use_fair_share=True
            ) or self._choose_cold(state, now, max_utilization=None)
        late = now > queued_call.latest_start_at
        has_room = self._has_room()
        max_utilization = (
            MAX_UNSATURATED_UTILIZATION
            if has_room
            else _LATE_CALL_MAX_UTILIZATION
        )
        fast = self.choose(
            state,
            now,
            fast_only=True,
            max_utilization=max_utilization if late else None,
        )
        if fast is not None:
            return fast
        # Without a probe the call would wait for nothing: no report could show
        # it a fast host before it is late.
        no_probe_in_time = has_room and self._probes.is_exhausted(
            now=now, until=queued_call.latest_start_at
        )
        if not no_probe_in_time and now < self.fast_host_wait_end(
            state, queued_call, now
        ):
            return self._choose_cold(
                state,
                now,
                fresh_only=True,
                max_utilization=max_utilization if late else None,
            )
        return self.choose(
            state, now, max_utilization=max_utilization
        ) or self._choose_cold(state, now, max_utilization=max_utilization)

    def first_choice(
        self, queued_call: target_queue.QueuedCall, now: float
    ) -> dict[str, Any]:
        """Returns options of `choose` for a queued call."""
        if not self._probes.reports_load:
            return {"use_fair_share": True}
        late = now > queued_call.latest_start_at
        return {
            "fast_only": True,
            "max_utilization": _LATE_CALL_MAX_UTILIZATION if late else None,
        }

    def _choose_cold(
        self,
        state: call_attempts.CallState,
        now: float,
        *,
        max_utilization: float | None,
        fresh_only: bool = False,
    ) -> loads.UpstreamLoad | None:
        """Returns a cold upstream for a call that no other can take now."""
        if not self._cold.may_use(queued_at=state.queued_at, now=now):
            return None
        return self.choose(
            state,
            now,
            cold_only=True,
            fresh_only=fresh_only,
            max_utilization=max_utilization,
        )

    def _has_room(self) -> bool:
        """Returns whether late calls take no slot that others need."""
        own_slots = self._view.total_slots / self._nodes()
        return self._view.mean_utilization < _MAX_MEAN_UTILIZATION and len(
            self._queue
        ) <= max(1.0, own_slots)

    def fast_host_wait_end(
        self,
        state: call_attempts.CallState,
        queued_call: target_queue.QueuedCall,
        now: float,
    ) -> float:
        """Returns when a queued call stops waiting for a fast host."""
        if not self._probes.has_recent_report(now):
            return state.queued_at + _MAX_WAIT_WITHOUT_REPORTS_S
        return queued_call.expires_at - _SLOW_HOST_FALLBACK_S

    def choose(
        self,
        state: call_attempts.CallState,
        now: float,
        *,
        need_free_slot: bool = False,
        fast_only: bool = False,
        cold_only: bool = False,
        fresh_only: bool = False,
        use_fair_share: bool = False,
        max_utilization: float | None = None,
        for_second_attempt: bool = False,
        select: Callable[..., Any] | None = None,
    ) -> Any:
        """Returns what `select` makes of the upstreams.

        That is the chosen upstream or None with `Balancer.choose`, the default,
        and an explanation with `Balancer.assess`, which uses neither the
        random generator nor a sample of the upstreams.

        Cold upstreams are left out, except with `cold_only`. With `fresh_only`,
        only upstreams with a fresh report are considered.
        """
        tried = state.tried
        # A retry may use an upstream again if there is no other. A hedge may
        # not: it would be as slow as the first attempt.
        if not need_free_slot and len(tried) >= len(self._view.eligible):
            tried = ()
        if max_utilization is None and not self._statistics.may_use_last_slot(
            self._rng.random() if select is None else _USUAL_DRAW
        ):
            max_utilization = MAX_UNSATURATED_UTILIZATION
        if use_fair_share:
            total = self._view.total_slots
            use_fair_share = self._local_in_flight() < max(
                1, math.ceil(total / self._nodes())
            )
        # Only upstreams with a fresh report can be known to be fast. They are
        # few, and a sample of all upstreams would miss most of them.
        if select is None:
            select = functools.partial(
                self._balancer.choose,
                candidates=self._view.recently_reported(
                    now=now, max_age_s=probe_rounds.MAX_FRESH_AGE_S
                )
                if fast_only or fresh_only
                else None,
            )
        return select(
            call_class=calls.CallClass.LOOKUP,
            typical_latency_s=self._statistics.quantile_s(state.call, 0.5),
            now=now,
            tried=tried,
            use_fair_share=use_fair_share,
            need_free_slot=need_free_slot or fast_only or fresh_only,
            max_utilization=max_utilization,
            utilization_weight=(
                _REPORTED_UTILIZATION_WEIGHT
                if fast_only
                else _ESTIMATED_UTILIZATION_WEIGHT
            ),
            accept=self._acceptance(
                now,
                fast_only=fast_only,
                cold_only=cold_only,
                for_second_attempt=for_second_attempt,
            ),
        )

    def _acceptance(
        self,
        now: float,
        *,
        fast_only: bool,
        cold_only: bool,
        for_second_attempt: bool = False,
    ) -> Callable[[loads.UpstreamLoad], bool] | None:
        """Returns the condition that an upstream must meet, or None."""
        if (
            not self._gate.limits_upstreams
            and not self._cold.has_any(now)
            and not for_second_attempt
        ):
            if not fast_only:
                return None
            return functools.partial(probe_rounds.is_fast, now=now)

        def accept(record: loads.UpstreamLoad) -> bool:
            if self._cold.is_cold(record, now) != cold_only:
                return False
            if fast_only and not probe_rounds.is_fast(record, now):
                return False
            if for_second_attempt and not decisions.may_get_second_attempt(
                record
            ):
                return False
            return self._gate.admits(record.upstream, now)

        return accept
