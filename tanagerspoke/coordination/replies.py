"""Watches timed-out exchanges, so that late and lost replies are known."""

import dataclasses
import enum
from typing import TypeAlias


class LossReason(enum.StrEnum):
    """Why a reply counts as lost."""

    BROKEN = "broken"
    EXPIRED = "expired"
    NOT_WATCHED = "not_watched"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Expected:
    """A reply that did not come in time; `deadline` in monotonic seconds.

    The request id of a probe is empty.
    """

    exchange_id: int
    request_id: str
    client_account: str
    service: str
    upstream_id: str
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeTimedOut:
    """The deadline passed before the reply was whole."""

    expected: Expected


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeBroke:
    """The connection broke before the deadline, after bytes were written."""

    expected: Expected


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplyArrived:
    """The reply of a watched exchange is whole."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WatchBroke:
    """The connection of a watched exchange broke."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed; see `next_wakeup`."""


Event: TypeAlias = (
    ExchangeTimedOut | ExchangeBroke | ReplyArrived | WatchBroke | Tick
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeepReading:
    """Read the connection on, and give what comes to nobody."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseConnection:
    """Close the connection of the exchange."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportLate:
    """Log and count a late reply."""

    expected: Expected
    lateness_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportLost:
    """Log and count a lost reply."""

    expected: Expected
    reason: LossReason


Action: TypeAlias = KeepReading | CloseConnection | ReportLate | ReportLost


class ReplyWatch:
    """Decides which timed-out exchanges are read on, and for how long.

    Every exchange that timed out or broke is reported exactly once, late or
    lost.
    """

    def __init__(self, *, limit: int, watch_s: float) -> None:
        self._limit = limit
        self._watch_s = watch_s
        # Insertion order is the order of expiry, as `watch_s` is constant.
        self._watched: dict[int, tuple[float, Expected]] = {}

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next `Tick` that is needed, or None."""
        for expires_at, _ in self._watched.values():
            return expires_at
        return None

    def handle(self, *, event: Event, now: float) -> list[Action]:
        """Returns what follows from an event."""
        match event:
            case ExchangeTimedOut(expected=expected):
                return self._watch(expected, now)
            case ExchangeBroke(expected=expected):
                return [ReportLost(expected=expected, reason=LossReason.BROKEN)]
            case ReplyArrived(exchange_id=exchange_id):
                return self._arrive(exchange_id, now)
            case WatchBroke(exchange_id=exchange_id):
                return self._lose(exchange_id, LossReason.BROKEN)
            case Tick():
                return self._expire(now)

    def _watch(self, expected: Expected, now: float) -> list[Action]:
        if len(self._watched) >= self._limit:
            return [
                ReportLost(expected=expected, reason=LossReason.NOT_WATCHED),
                CloseConnection(exchange_id=expected.exchange_id),
            ]
        self._watched[expected.exchange_id] = (now + self._watch_s, expected)
        return [KeepReading(exchange_id=expected.exchange_id)]

    def _arrive(self, exchange_id: int, now: float) -> list[Action]:
        found = self._watched.pop(exchange_id, None)
        if found is None:
            return []
        _, expected = found
        return [
            ReportLate(expected=expected, lateness_s=now - expected.deadline),
            CloseConnection(exchange_id=exchange_id),
        ]

    def _lose(self, exchange_id: int, reason: LossReason) -> list[Action]:
        found = self._watched.pop(exchange_id, None)
        if found is None:
            return []
        return [
            ReportLost(expected=found[1], reason=reason),
            CloseConnection(exchange_id=exchange_id),
        ]

    def _expire(self, now: float) -> list[Action]:
        expired = [
            exchange_id
            for exchange_id, (expires_at, _) in self._watched.items()
            if expires_at <= now
        ]
        actions: list[Action] = []
        for exchange_id in expired:
            actions += self._lose(exchange_id, LossReason.EXPIRED)
        return actions
