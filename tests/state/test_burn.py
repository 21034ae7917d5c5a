"""Service-level burn against hand-computed cases and properties."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tanagerspoke.state import burn

_LEVEL = burn.Level(
    client_account="oulu-shop", service="map-viewing", call_class="lookup"
)
_OBJECTIVE = burn.Objective(ratio=0.99, latency_s=0.1)


def _counter(kind: burn.Kind, level: burn.Level = _LEVEL) -> burn.Counter:
    return burn.Counter(
        kind=kind,
        client_account=level.client_account,
        service=level.service,
        call_class=level.call_class,
    )


def _scrape(
    at: float,
    met: float,
    missed: float,
    *,
    gateway: str = "a",
    level: burn.Level = _LEVEL,
) -> burn.Scrape:
    return burn.Scrape(
        gateway=gateway,
        at=at,
        counters={
            _counter(burn.Kind.MET, level): met,
            _counter(burn.Kind.MISSED, level): missed,
        },
        objectives={level: _OBJECTIVE},
    )


def test_one_scrape_gives_the_budget_and_no_burn_rate() -> None:
    """Guards against burn rates over a time that is not known."""
    [level] = burn.report([_scrape(1000.0, 995, 5)]).levels
    # 1 % of 1,000 calls may miss, so 5 misses spend half of the budget.
    assert level.budget_left == pytest.approx(0.5)
    assert level.windows == ()


def test_windows_as_far_as_scrapes_reach() -> None:
    """Guards against a window that covers another time than it says."""
    scrapes = [
        _scrape(0.0, 100, 0),
        _scrape(3300.0, 1000, 0),
        _scrape(3600.0, 1090, 10),
    ]
    [level] = burn.report(scrapes).levels
    rates = {w.window_s: w.burn_rate for w in level.windows}
    # 10 of 100 in 5 min; 10 of 1,000 in 1 h; 1 % is allowed.
    assert rates == {300.0: pytest.approx(10.0), 3600.0: pytest.approx(1.0)}
    # 10 of 1,100 calls missed, 11 may.
    assert level.budget_left == pytest.approx(1 / 11)


def test_coarse_scrapes_say_nothing_about_short_windows() -> None:
    """Guards against a day's average that is shown as 5 minutes."""
    scrapes = [_scrape(0.0, 0, 0), _scrape(3600.0, 100, 0)]
    [level] = burn.report(scrapes).levels
    assert [w.window_s for w in level.windows] == [3600.0]


def test_late_scrapes_choose_the_nearest_start() -> None:
    """Guards against a scrape that came early and doubles the window."""
    scrapes = [_scrape(at, at, 0) for at in (0.0, 300.0, 599.9)]
    [level] = burn.report(scrapes).levels
    assert level.windows[0].covered_s == pytest.approx(299.9)


def test_restart_counts_from_zero() -> None:
    """Guards against negative burn, and calls lost at a restart."""
    scrapes = [
        _scrape(0.0, 1000, 50),
        # Restarted: `met` fell, `missed` grew past its former value.
        _scrape(300.0, 40, 60),
    ]
    [level] = burn.report(scrapes).levels
    [window] = level.windows
    assert (window.calls, window.missed) == (100, 60)
    assert (level.calls, level.missed) == (1150, 110)


def test_gateway_that_is_gone_still_counts() -> None:
    """Guards against burn that vanishes with the gateway that caused it."""
    scrapes = [
        _scrape(0.0, 0, 0),
        _scrape(150.0, 0, 100),
        _scrape(0.0, 0, 0, gateway="b"),
        _scrape(300.0, 100, 0, gateway="b"),
    ]
    [level] = burn.report(scrapes).levels
    assert level.windows[0].burn_rate == pytest.approx(50.0)


def test_worst_first_events_and_client_account() -> None:
    """Guards against the report of one account showing another's."""
    other = burn.Level(
        client_account="turku-shop", service="booking", call_class="write"
    )
    lost = burn.Counter(
        kind=burn.Kind.LOST_REPLY,
        client_account="turku-shop",
        service="booking",
        upstream="booking-1",
    )
    scrapes = [
        _scrape(0.0, 999, 1),
        burn.Scrape(
            gateway="b",
            at=0.0,
            counters={_counter(burn.Kind.MISSED, other): 9, lost: 2},
            objectives={other: _OBJECTIVE},
        ),
    ]
    report = burn.report(scrapes)
    assert [level.level for level in report.levels] == [other, _LEVEL]
    assert [(e.kind, e.count) for e in report.events] == [("lost_reply", 2)]
    report = burn.report(scrapes, client_account="oulu-shop")
    assert [level.level for level in report.levels] == [_LEVEL]
    assert report.events == ()


_STEPS = st.lists(
    st.lists(
        st.tuples(
            st.integers(min_value=0, max_value=1000),
            st.integers(min_value=0, max_value=50),
            st.booleans(),
        ),
        min_size=3,
        max_size=3,
    ),
    min_size=2,
    max_size=8,
)


def _scrapes(
    steps: list[list[tuple[int, int, bool]]], *, restarts: bool
) -> list[burn.Scrape]:
    scrapes = []
    for number, gateway in enumerate("abc"):
        met = missed = 0
        for step, gateways in enumerate(steps):
            more_met, more_missed, restarted = gateways[number]
            if restarted and restarts:
                met = missed = 0
            met += more_met
            missed += more_missed
            scrapes.append(_scrape(step * 300.0, met, missed, gateway=gateway))
    return scrapes


@given(steps=_STEPS)
def test_sum_over_gateways_equals_one(
    steps: list[list[tuple[int, int, bool]]],
) -> None:
    """Guards against a burn that depends on how calls spread."""
    one = []
    met = missed = 0
    for step, gateways in enumerate(steps):
        met += sum(part[0] for part in gateways)
        missed += sum(part[1] for part in gateways)
        one.append(_scrape(step * 300.0, met, missed))
    [apart] = burn.report(_scrapes(steps, restarts=False)).levels
    [together] = burn.report(one).levels
    assert apart == together


@given(steps=_STEPS)
def test_restarts_never_give_negative_burn(
    steps: list[list[tuple[int, int, bool]]],
) -> None:
    """Guards against a restart that gives budget back or counts twice."""
    scrapes = _scrapes(steps, restarts=True)
    [level] = burn.report(scrapes).levels
    for counted in (level, *level.windows):
        assert 0 <= counted.missed <= counted.calls
    calls = sum(part[0] + part[1] for step in steps for part in step)
    assert level.calls <= calls
    for point in burn.history(scrapes, level=_LEVEL):
        assert point.burn_rate >= 0
