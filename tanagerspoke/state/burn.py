"""Error budget burn, computed from scrapes of the gateways' counters.

Burn rate and windows follow "The Site Reliability Workbook" (Beyer and
others, 2018), chapter 5: a burn rate of 1 uses up the error budget exactly.
All times are Unix times in seconds.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
import dataclasses
import enum
import itertools

# From 5 min to 3 d.
WINDOWS_S = (300.0, 3600.0, 21_600.0, 259_200.0)

# Time between the compared scrapes relative to the length of a window. Scrapes
# are taken slightly early or late, so the time may be a little shorter; scrapes
# much further apart than the window do not describe it.
_MIN_COVERED_SHARE = 0.9
_MAX_COVERED_SHARE = 2.0


class CounterKind(enum.StrEnum):
    """Kind of the calls or replies that a counter counts."""

    MET = "met"
    MISSED = "missed"
    LATE_REPLY = "late_reply"
    LOST_REPLY = "lost_reply"
    UNKNOWN_OUTCOME = "unknown_outcome"


_EVENT_KINDS = (
    CounterKind.LATE_REPLY,
    CounterKind.LOST_REPLY,
    CounterKind.UNKNOWN_OUTCOME,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class ServiceLevel:
    """A client account's calls of one class to a service.

    Each objective applies to one service level.
    """

    client_account: str
    service: str
    call_class: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Objective:
    """Share of calls that must get a response within a latency."""

    ratio: float
    latency_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Counter:
    """Identifies a counter; labels that it does not have are empty."""

    kind: CounterKind
    client_account: str
    service: str
    call_class: str = ""
    upstream: str = ""

    @property
    def level(self) -> ServiceLevel:
        """The service level that the counter belongs to."""
        return ServiceLevel(
            client_account=self.client_account,
            service=self.service,
            call_class=self.call_class,
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scrape:
    """Counters of one gateway; gateways scraped together share one time."""

    gateway: str
    at: float
    counters: Mapping[Counter, float]
    objectives: Mapping[ServiceLevel, Objective]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WindowBurn:
    """Burn over the last `window_s` seconds.

    Attributes:
        covered_s: time between the scrapes that were compared.
        burn_rate: None where no call was counted.
    """

    window_s: float
    covered_s: float
    calls: float
    missed: float
    burn_rate: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LevelBurn:
    """Burn of one objective.

    Attributes:
        calls, missed: counts over the whole time that the counters cover.
        budget_left: remaining share of the error budget of these calls;
            negative if it is exceeded, None if no call was counted.
        windows: windows that the scrapes cover, shortest first.
    """

    level: ServiceLevel
    objective: Objective
    calls: float
    missed: float
    budget_left: float | None
    windows: tuple[WindowBurn, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Replies or outcomes of a kind that an operator must investigate."""

    kind: CounterKind
    client_account: str
    service: str
    upstream: str
    count: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Burn of all objectives, worst first, and the events to investigate."""

    at: float
    gateways: tuple[str, ...]
    levels: tuple[LevelBurn, ...]
    events: tuple[Event, ...]


def increases(
    scrapes: Sequence[Scrape], *, since: float
) -> dict[Counter, float]:
    """Returns the increases of one gateway's counters since a time.

    The increases start at the last scrape at or before `since`, or at the
    first one. A decreased counter shows that the gateway restarted. All its
    counters are then taken to start at zero, since some may already exceed
    their former value.

    Args:
        scrapes: scrapes of one gateway, in order of time.
        since: start of the time span.
    """
    first_index = 0
    for index, scrape in enumerate(scrapes):
        if scrape.at <= since:
            first_index = index
    counted: collections.Counter[Counter] = collections.Counter()
    for earlier, later in itertools.pairwise(scrapes[first_index:]):
        restarted = any(
            later.counters.get(counter, value) < value
            for counter, value in earlier.counters.items()
        )
        for counter, value in later.counters.items():
            base = 0.0 if restarted else earlier.counters.get(counter, 0.0)
            counted[counter] += value - base
    return dict(counted)


def totals(scrapes: Sequence[Scrape]) -> dict[Counter, float]:
    """Returns one gateway's counts, including those before the first scrape."""
    counted = collections.Counter(dict(scrapes[0].counters))
    counted.update(increases(scrapes, since=scrapes[0].at))
    return dict(counted)


def report(
    scrapes: Iterable[Scrape],
    *,
    windows_s: Sequence[float] = WINDOWS_S,
    client_account: str | None = None,
) -> Report:
    """Returns the burn up to the last scrape.

    Args:
        scrapes: scrapes of any number of gateways, in any order.
        windows_s: lengths of the windows.
        client_account: limits the report to one client account, if given.
    """
    by_gateway = _group_by_gateway(scrapes)
    times = sorted({s.at for series in by_gateway.values() for s in series})
    if not times:
        return Report(at=0.0, gateways=(), levels=(), events=())
    counted = _sum_counts(totals(series) for series in by_gateway.values())
    windows = {
        window_s: (
            times[-1] - start,
            _sum_counts(
                increases(series, since=start) for series in by_gateway.values()
            ),
        )
        for window_s in windows_s
        if (start := _window_start(times, window_s)) is not None
    }
    levels = [
        _level_burn(level, objective, counted, windows)
        for level, objective in _objectives(by_gateway.values()).items()
        if client_account in (None, level.client_account)
    ]
    return Report(
        at=times[-1],
        gateways=tuple(sorted(by_gateway)),
        levels=tuple(sorted(levels, key=_severity_key)),
        events=_events(counted, client_account),
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BurnPoint:
    """Burn rate between the scrape before `at` and the one at `at`."""

    at: float
    burn_rate: float


def burn_history(
    scrapes: Sequence[Scrape], *, level: ServiceLevel
) -> tuple[BurnPoint, ...]:
    """Returns the burn rates of one objective between scrapes.

    Intervals without counted calls are omitted.
    """
    by_gateway = _group_by_gateway(scrapes)
    objective = _objectives(by_gateway.values()).get(level)
    if objective is None:
        return ()
    counts: dict[float, list[tuple[float, float]]] = collections.defaultdict(
        list
    )
    for series in by_gateway.values():
        for pair in itertools.pairwise(series):
            counted = increases(pair, since=pair[0].at)
            counts[pair[1].at].append(_call_counts(level, counted))
    points = []
    for at, parts in sorted(counts.items()):
        rate = burn_rate(
            calls=sum(calls for calls, _ in parts),
            missed=sum(missed for _, missed in parts),
            ratio=objective.ratio,
        )
        if rate is not None:
            points.append(BurnPoint(at=at, burn_rate=rate))
    return tuple(points)


def _group_by_gateway(scrapes: Iterable[Scrape]) -> dict[str, list[Scrape]]:
    by_gateway: dict[str, list[Scrape]] = collections.defaultdict(list)
    for scrape in sorted(scrapes, key=lambda scrape: scrape.at):
        by_gateway[scrape.gateway].append(scrape)
    return dict(by_gateway)


def _window_start(times: Sequence[float], window_s: float) -> float | None:
    """Returns the scrape time closest to the start of a window."""
    end = times[-1]
    candidates = [
        at
        for at in times
        if _MIN_COVERED_SHARE <= (end - at) / window_s <= _MAX_COVERED_SHARE
    ]
    return min(
        candidates, key=lambda at: abs(end - at - window_s), default=None
    )


def _sum_counts(
    parts: Iterable[Mapping[Counter, float]],
) -> dict[Counter, float]:
    total: collections.Counter[Counter] = collections.Counter()
    for part in parts:
        total.update(dict(part))
    return dict(total)


def _objectives(
    gateways: Iterable[Sequence[Scrape]],
) -> dict[ServiceLevel, Objective]:
    """Returns the latest objectives; if gateways differ, the strictest."""
    strictest: dict[ServiceLevel, Objective] = {}
    for series in gateways:
        latest: dict[ServiceLevel, Objective] = {}
        for scrape in series:
            latest.update(scrape.objectives)
        for level, objective in latest.items():
            known = strictest.get(level)
            if known is None or known.ratio < objective.ratio:
                strictest[level] = objective
    return strictest


def _level_burn(
    level: ServiceLevel,
    objective: Objective,
    counted: Mapping[Counter, float],
    windows: Mapping[float, tuple[float, Mapping[Counter, float]]],
) -> LevelBurn:
    calls, missed = _call_counts(level, counted)
    spent = burn_rate(calls=calls, missed=missed, ratio=objective.ratio)
    burns = []
    for window_s, (covered_s, in_window) in sorted(windows.items()):
        window_calls, window_missed = _call_counts(level, in_window)
        burns.append(
            WindowBurn(
                window_s=window_s,
                covered_s=covered_s,
                calls=window_calls,
                missed=window_missed,
                burn_rate=burn_rate(
                    calls=window_calls,
                    missed=window_missed,
                    ratio=objective.ratio,
                ),
            )
        )
    return LevelBurn(
        level=level,
        objective=objective,
        calls=calls,
        missed=missed,
        budget_left=None if spent is None else 1.0 - spent,
        windows=tuple(burns),
    )


def burn_rate(*, calls: float, missed: float, ratio: float) -> float | None:
    """Returns the share of misses relative to the share that is allowed.

    Returns None if no call was counted or the objective allows no miss.
    """
    if calls <= 0 or ratio >= 1:
        return None
    return missed / calls / (1.0 - ratio)


def _call_counts(
    level: ServiceLevel, counted: Mapping[Counter, float]
) -> tuple[float, float]:
    met, missed = (
        counted.get(
            Counter(
                kind=kind,
                client_account=level.client_account,
                service=level.service,
                call_class=level.call_class,
            ),
            0.0,
        )
        for kind in (CounterKind.MET, CounterKind.MISSED)
    )
    return met + missed, missed


def _severity_key(burn: LevelBurn) -> tuple[float, float, ServiceLevel]:
    """Returns a sort key: remaining budget, then highest burn rate."""
    budget_left = 1.0 if burn.budget_left is None else burn.budget_left
    highest = max((w.burn_rate or 0.0 for w in burn.windows), default=0.0)
    return budget_left, -highest, burn.level


def _events(
    counted: Mapping[Counter, float], client_account: str | None
) -> tuple[Event, ...]:
    events = [
        Event(
            kind=counter.kind,
            client_account=counter.client_account,
            service=counter.service,
            upstream=counter.upstream,
            count=count,
        )
        for counter, count in counted.items()
        if counter.kind in _EVENT_KINDS
        and count > 0
        and client_account in (None, counter.client_account)
    ]
    return tuple(
        sorted(events, key=lambda e: (-e.count, e.kind, e.client_account))
    )
