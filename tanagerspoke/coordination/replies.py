"""Watches timed-out exchanges to report late and lost replies.

As in the log events and metrics, a reply is the response of an upstream.
"""

import dataclasses
import enum
from typing import TypeAlias


class LossReason(enum.StrEnum):
    """Reason why a reply is reported as lost."""

    BROKEN = "broken"
    EXPIRED = "expired"
    NOT_WATCHED = "not_watched"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExpectedReply:
    """The reply of an upstream that is late or lost.

    Attributes:
        request_id: id of the caller's request; empty for a probe.
        deadline: monotonic seconds.
    """

    exchange_id: int
    request_id: str
    client_account: str
    service: str
    upstream_id: str
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeTimedOut:
    """The deadline passed before the reply was complete."""

    expected: ExpectedReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionBroke:
    """The connection broke before the deadline, after bytes were written."""

    expected: ExpectedReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplyArrived:
    """The reply of a watched exchange is complete."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WatchedConnectionBroke:
    """The connection of a watched exchange broke."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed; see `ReplyWatch.next_wakeup`."""


Event: TypeAlias = (
    ExchangeTimedOut
    | ConnectionBroke
    | ReplyArrived
    | WatchedConnectionBroke
    | Tick
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeepReading:
    """Keep reading from the connection and discard what arrives."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseConnection:
    """Close the connection of the exchange."""

    exchange_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportLate:
    """Log and count a late reply."""

    expected: ExpectedReply
    lateness_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportLost:
    """Log and count a lost reply."""

    expected: ExpectedReply
    reason: LossReason


Action: TypeAlias = KeepReading | CloseConnection | ReportLate | ReportLost


class ReplyWatch:
    """Decides which timed-out exchanges are still read, and for how long.

    Every exchange that timed out or whose connection broke is reported exactly
    once, as late or as lost.

    Args:
        max_watched: maximum number of exchanges watched at a time.
        watch_s: time after which a reply is reported as lost.
    """

    def __init__(self, *, max_watched: int, watch_s: float) -> None:
        self._max_watched = max_watched
        self._watch_s = watch_s
        # Expiry time and reply by exchange id, in the order of expiry, since
        # `watch_s` is constant.
        self._watched: dict[int, tuple[float, ExpectedReply]] = {}

    @property
    def next_wakeup(self) -> float | None:
        """Time at which the next `Tick` is needed, or None."""
        for expires_at, _ in self._watched.values():
            return expires_at
        return None

    def handle(self, *, event: Event, now: float) -> list[Action]:
        """Applies an event and returns the resulting actions."""
        match event:
            case ExchangeTimedOut(expected=expected):
                return self._watch(expected, now)
            case ConnectionBroke(expected=expected):
                return [ReportLost(expected=expected, reason=LossReason.BROKEN)]
            case ReplyArrived(exchange_id=exchange_id):
                return self._report_late(exchange_id, now)
            case WatchedConnectionBroke(exchange_id=exchange_id):
                return self._report_lost(exchange_id, LossReason.BROKEN)
            case Tick():
                return self._expire(now)

    def _watch(self, expected: ExpectedReply, now: float) -> list[Action]:
        if len(self._watched) >= self._max_watched:
            return [
                ReportLost(expected=expected, reason=LossReason.NOT_WATCHED),
                CloseConnection(exchange_id=expected.exchange_id),
            ]
        self._watched[expected.exchange_id] = (now + self._watch_s, expected)
        return [KeepReading(exchange_id=expected.exchange_id)]

    def _report_late(self, exchange_id: int, now: float) -> list[Action]:
        watched = self._watched.pop(exchange_id, None)
        if watched is None:
            return []
        _, expected = watched
        return [
            ReportLate(expected=expected, lateness_s=now - expected.deadline),
            CloseConnection(exchange_id=exchange_id),
        ]

    def _report_lost(
        self, exchange_id: int, reason: LossReason
    ) -> list[Action]:
        watched = self._watched.pop(exchange_id, None)
        if watched is None:
            return []
        return [
            ReportLost(expected=watched[1], reason=reason),
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
            actions += self._report_lost(exchange_id, LossReason.EXPIRED)
        return actions
