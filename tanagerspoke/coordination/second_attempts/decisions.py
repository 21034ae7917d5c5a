"""Decides whether and when a call gets a second attempt."""

import dataclasses
from typing import TypeAlias

from tanagerspoke.coordination import call_attempts
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import route_statistics
from tanagerspoke.coordination.second_attempts import allowance
from tanagerspoke.coordination.second_attempts import timing
from tanagerspoke.protocol import calls

# A call that waited longer than a round of probes had to wait for an upstream;
# shorter waits are those for the first load report.
_MAX_PROBE_WAIT_S = probe_rounds.ROUND_DURATION_S
# Delay until a call is considered again that has no allowance now.
_RECHECK_S = 0.03
# Shortest time between two looks at the slowness of a first attempt's host.
_MIN_LOOK_INTERVAL_S = 0.005
# Age of a report up to which it describes the host of a running attempt. Slow
# spells of hosts last about 150 ms.
_MAX_SLOWNESS_AGE_S = 0.15
# Share of the retry budget that second attempts leave to retries. A retry is
# needed more: its call has no other attempt in flight.
_RESERVED_SHARE = 0.25
_MIN_RESERVED_ATTEMPTS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendNow:
    """The second attempt is due and allowed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConsiderAt:
    """The call is to be considered again at `at`, in monotonic seconds."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoSecondAttempt:
    """The call gets no second attempt."""


Decision: TypeAlias = SendNow | ConsiderAt | NoSecondAttempt


class SecondAttempts:
    """Second attempts of the calls of one service and node."""

    def __init__(
        self, *, share: float, statistics: route_statistics.RouteStatistics
    ) -> None:
        """Creates an instance with an empty allowance.

        Args:
            share: second attempts of all nodes per call that may be repeated,
                0 to 1.
            statistics: attempt durations by route.
        """
        self.allowance = allowance.Allowance(share=share)
        self._statistics = statistics

    def record_dispatch(
        self, *, state: call_attempts.CallState, now: float
    ) -> None:
        """Records that the first attempt of a call was sent."""
        call = state.call
        self.allowance.record_call(
            repeatable=call.idempotent and call.hedge,
            waited=now - state.queued_at > _MAX_PROBE_WAIT_S,
        )

    def record_expiry(self) -> None:
        """Records that a call was refused after its wait for an upstream."""
        self.allowance.record_call(repeatable=False, waited=True)

    def record_retry(self, call: calls.Call) -> None:
        """Charges a retry of a call that may be repeated."""
        if call.idempotent and call.hedge:
            self.allowance.record_retry()

    def reserved_for_retries(self, allowed_attempts: float) -> float:
        """Returns the part of the retry budget that is left to retries.

        Args:
            allowed_attempts: extra attempts that the budget allows in a
                window.
        """
        return max(_MIN_RESERVED_ATTEMPTS, _RESERVED_SHARE * allowed_attempts)

    def first_look(
        self, *, call: calls.Call, attempt: call_attempts.Attempt
    ) -> Decision:
        """Returns what to do after a first attempt was sent."""
        now = attempt.started_at
        due_at = self._due_at(call, attempt, now)
        if due_at is None:
            return NoSecondAttempt()
        # The host may report a slowness while the attempt runs.
        delay_s = (due_at - now) / timing.MAX_SLOWNESS_FACTOR
        return ConsiderAt(at=now + max(_MIN_LOOK_INTERVAL_S, delay_s))

    def decide(
        self,
        *,
        call: calls.Call,
        attempt: call_attempts.Attempt,
        waiting_since: float | None,
        now: float,
    ) -> Decision:
        """Returns whether a second attempt is to be sent now.

        Args:
            call: call with one attempt in flight.
            attempt: its attempt.
            waiting_since: monotonic seconds since which the oldest call of
                this node waits for an upstream, None if no call waits.
            now: monotonic seconds.
        """
        due_at = self._due_at(call, attempt, now)
        if due_at is None:
            return NoSecondAttempt()
        if due_at > now:
            elapsed_s = max(_MIN_LOOK_INTERVAL_S, now - attempt.started_at)
            return ConsiderAt(at=min(due_at, now + elapsed_s))
        calls_wait = (
            waiting_since is not None
            and now - waiting_since > _MAX_PROBE_WAIT_S
        )
        if calls_wait or self.allowance.remaining < 1.0:
            return ConsiderAt(at=now + _RECHECK_S)
        return SendNow()

    def _due_at(
        self, call: calls.Call, attempt: call_attempts.Attempt, now: float
    ) -> float | None:
        share = self.allowance.share
        if not share:
            return None
        durations = timing.route_durations(
            statistics=self._statistics, call=call, share=share
        )
        due_at = timing.due_at(
            call=call,
            started_at=attempt.started_at,
            host_slowness=_known_slowness(attempt, now),
            durations=durations,
        )
        if due_at is None or now + durations.typical_s >= call.deadline:
            return None
        return due_at


def _known_slowness(attempt: call_attempts.Attempt, now: float) -> float:
    """Returns the highest slowness known of the host of a running attempt."""
    record = attempt.record
    slowness = attempt.host_slowness
    if record.report_age_s(now) <= _MAX_SLOWNESS_AGE_S:
        slowness = max(slowness, record.host_slowness)
    return slowness
