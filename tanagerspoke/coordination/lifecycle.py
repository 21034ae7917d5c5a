"""Graceful stop of a process that serves callers."""

import dataclasses
import enum
from typing import TypeAlias


class Phase(enum.StrEnum):
    """Phase of the process.

    In the lame-duck phase the process reports that it is not ready but still
    accepts connections. In the draining phase it only serves running calls.
    """

    RUNNING = "running"
    LAME_DUCK = "lame_duck"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningCall:
    """A call that has started and not ended."""

    call_id: int
    client_account: str
    service: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallStarted:
    """The headers of a call are complete."""

    call: RunningCall


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallEnded:
    """The response of a call was written, or its caller disconnected."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopRequested:
    """A stop signal was received; a second one stops without waiting."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed; see `Lifecycle.next_wakeup`."""


Event: TypeAlias = CallStarted | CallEnded | StopRequested | Tick


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseListeners:
    """Accept no new connections; open ones are still served."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AbortCall:
    """Log and abort a call that still runs at the stop deadline.

    A second stop request has the same effect as the deadline.
    """

    call: RunningCall


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """Close the remaining connections and exit."""


Action: TypeAlias = CloseListeners | AbortCall | Finish


class Lifecycle:
    """Decides when the listeners close and when the process exits.

    Args:
        lame_duck_s: time from a stop request until the listeners close.
        stop_deadline_s: maximum time from a stop request until the exit.
    """

    def __init__(self, *, lame_duck_s: float, stop_deadline_s: float) -> None:
        self._lame_duck_s = lame_duck_s
        self._stop_deadline_s = stop_deadline_s
        self._running: dict[int, RunningCall] = {}
        self._listeners_close_at = 0.0
        self._stop_deadline_at = 0.0
        self.phase = Phase.RUNNING

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer in front should send callers here."""
        return self.phase is Phase.RUNNING

    @property
    def running(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def stop_deadline_at(self) -> float | None:
        """Time at which running calls are aborted, None before a stop."""
        return None if self.is_ready else self._stop_deadline_at

    @property
    def next_wakeup(self) -> float | None:
        """Time at which the next `Tick` is needed, or None."""
        match self.phase:
            case Phase.LAME_DUCK:
                return min(self._listeners_close_at, self._stop_deadline_at)
            case Phase.DRAINING:
                return self._stop_deadline_at
        return None

    def handle(self, *, event: Event, now: float) -> list[Action]:
        """Applies an event and returns the resulting actions."""
        match event:
            case CallStarted(call=call):
                self._running[call.call_id] = call
                return []
            case CallEnded(call_id=call_id):
                self._running.pop(call_id, None)
                return self._finish_if_drained()
            case StopRequested():
                return self._handle_stop_request(now)
            case Tick():
                return self._tick(now)

    def _handle_stop_request(self, now: float) -> list[Action]:
        match self.phase:
            case Phase.RUNNING:
                self.phase = Phase.LAME_DUCK
                self._listeners_close_at = now + self._lame_duck_s
                self._stop_deadline_at = now + self._stop_deadline_s
                return self._tick(now)
            case Phase.STOPPED:
                return []
        return self._abort_running()

    def _tick(self, now: float) -> list[Action]:
        if self.phase not in (Phase.LAME_DUCK, Phase.DRAINING):
            return []
        if now >= self._stop_deadline_at:
            return self._abort_running()
        if self.phase is Phase.LAME_DUCK and now >= self._listeners_close_at:
            self.phase = Phase.DRAINING
            return [CloseListeners(), *self._finish_if_drained()]
        return []

    def _finish_if_drained(self) -> list[Action]:
        if self.phase is not Phase.DRAINING or self._running:
            return []
        self.phase = Phase.STOPPED
        return [Finish()]

    def _abort_running(self) -> list[Action]:
        actions: list[Action] = []
        if self.phase is Phase.LAME_DUCK:
            actions.append(CloseListeners())
        self.phase = Phase.STOPPED
        actions += [AbortCall(call=call) for call in self._running.values()]
        return [*actions, Finish()]
