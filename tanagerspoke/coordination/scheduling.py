"""Scheduler of the calls of one service in one gateway."""

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import upstreams


class ServiceScheduler:
    """Decides when and where each call of a service runs."""

    def __init__(
        self,
        *,
        availability_zone: str,
        pull_slot_share: float,
        rng: randomness.Random,
    ) -> None:
        self._availability_zone = availability_zone
        self._pull_slot_share = pull_slot_share
        self._rng = rng
        self._upstreams: dict[str, upstreams.Upstream] = {}
        self._draining: set[str] = set()

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next `Tick` that is needed, or None."""
        return None

    def handle(
        self, *, event: calls.SchedulerEvent, now: float
    ) -> list[calls.SchedulerAction]:
        """Returns what follows from an event."""
        del now
        match event:
            case calls.Arrive(call=call):
                return [self._dispatch(call)]
            case calls.AttemptEnded():
                return [self._end(event)]
            case calls.UpstreamsChanged(upstreams=changed):
                self._upstreams = {u.upstream_id: u for u in changed}
            case calls.DrainMarked(upstream_id=upstream_id):
                self._draining.add(upstream_id)
        return []

    def _dispatch(self, call: calls.Call) -> calls.SchedulerAction:
        ready = [
            upstream_id
            for upstream_id, upstream in self._upstreams.items()
            if upstream_id not in self._draining and not upstream.leaving
        ]
        if not ready:
            return calls.Refuse(
                call_id=call.call_id,
                code=errors.ErrorCode.NO_UPSTREAM,
                retry_after_s=1.0,
            )
        return calls.Dispatch(
            call_id=call.call_id,
            attempt=1,
            upstream_id=self._rng.choice(ready),
        )

    def _end(self, event: calls.AttemptEnded) -> calls.SchedulerAction:
        match event.result:
            case calls.Answered():
                return calls.Settle(
                    call_id=event.call_id, attempt=event.attempt
                )
            case calls.NotSent():
                code = errors.ErrorCode.UPSTREAM_UNREACHABLE
            case calls.Shed():
                code = errors.ErrorCode.UPSTREAM_SHED
            case calls.TimedOut():
                code = errors.ErrorCode.UPSTREAM_TIMEOUT
            case calls.Crossed():
                code = errors.ErrorCode.CROSSED_REPLY
            case _:
                code = errors.ErrorCode.UPSTREAM_BROKEN
        if errors.outcome_of(code) is errors.Outcome.NOT_RUN:
            return calls.Refuse(
                call_id=event.call_id, code=code, retry_after_s=1.0
            )
        return calls.Fail(call_id=event.call_id, code=code)
