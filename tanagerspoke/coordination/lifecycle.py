"""Planned stop of a process that serves callers."""

import dataclasses
import enum
from typing import TypeAlias


class Phase(enum.StrEnum):
    """Phase of the process."""

    RUNNING = "running"
    LAME_DUCK = "lame_duck"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningCall:
    """A call that has not been answered to the last byte."""

    call_id: int
    client_account: str
    service: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallStarted:
    """A call was accepted."""

    call: RunningCall


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallEnded:
    """The last byte of a call's answer was handed to its connection."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopRequested:
    """A signal asks the process to stop; a second one ends the wait."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed; see `next_wakeup`."""


Event: TypeAlias = CallStarted | CallEnded | StopRequested | Tick


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseListeners:
    """Accept no new connections; open ones are served on."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CutCall:
    """Log this call and end it: the wait is over."""

    call: RunningCall


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """Close what is left and exit."""


Action: TypeAlias = CloseListeners | CutCall | Finish


class Lifecycle:
    """Decides when listeners close and when the process ends."""

    def __init__(self, *, lame_duck_s: float, stop_deadline_s: float) -> None:
        self._lame_duck_s = lame_duck_s
        self._stop_deadline_s = stop_deadline_s
        self._running: dict[int, RunningCall] = {}
        self._listeners_close_at = 0.0
        self._end_at = 0.0
        self.phase = Phase.RUNNING

    @property
    def is_ready(self) -> bool:
        """Whether the platform's balancer should send callers here."""
        return self.phase is Phase.RUNNING

    @property
    def running(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next `Tick` that is needed, or None."""
        match self.phase:
            case Phase.LAME_DUCK:
                return min(self._listeners_close_at, self._end_at)
            case Phase.DRAINING:
                return self._end_at
        return None

    def handle(self, *, event: Event, now: float) -> list[Action]:
        """Returns what follows from an event."""
        match event:
            case CallStarted(call=call):
                self._running[call.call_id] = call
                return []
            case CallEnded(call_id=call_id):
                self._running.pop(call_id, None)
                return self._finish_if_drained()
            case StopRequested():
                return self._stop(now)
            case Tick():
                return self._tick(now)

    def _stop(self, now: float) -> list[Action]:
        match self.phase:
            case Phase.RUNNING:
                self.phase = Phase.LAME_DUCK
                self._listeners_close_at = now + self._lame_duck_s
                self._end_at = now + self._stop_deadline_s
                return self._tick(now)
            case Phase.STOPPED:
                return []
        return self._cut()

    def _tick(self, now: float) -> list[Action]:
        if self.phase not in (Phase.LAME_DUCK, Phase.DRAINING):
            return []
        if now >= self._end_at:
            return self._cut()
        if self.phase is Phase.LAME_DUCK and now >= self._listeners_close_at:
            self.phase = Phase.DRAINING
            return [CloseListeners(), *self._finish_if_drained()]
        return []

    def _finish_if_drained(self) -> list[Action]:
        if self.phase is not Phase.DRAINING or self._running:
            return []
        self.phase = Phase.STOPPED
        return [Finish()]

    def _cut(self) -> list[Action]:
        actions: list[Action] = []
        if self.phase is Phase.LAME_DUCK:
            actions.append(CloseListeners())
        self.phase = Phase.STOPPED
        actions += [CutCall(call=call) for call in self._running.values()]
        return [*actions, Finish()]
