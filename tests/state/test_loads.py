"""Estimated load of the upstreams of a service."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads
from tests.coordination import helpers


def _report_trust(stale: bool) -> float:
    view = loads.LoadView()
    view.set_upstreams(listed=helpers.make_upstreams(1, slots=9), now=0.0)
    record = view.get("u0")
    rng = random.Random(1)
    for step in range(2000):
        record.local_in_flight = rng.randrange(1, 4)
        reported_local = (
            rng.randrange(1, 4) if stale else record.local_in_flight
        )
        report = upstreams.LoadReport(
            in_flight=reported_local + rng.randrange(3), slots=9
        )
        view.record_report(record=record, load=report, now=float(step))
    return view.report_trust


def test_trust_in_stale_reports_decreases():
    """Guards against choices that rely on outdated load reports."""
    assert _report_trust(stale=False) == 1.0
    assert _report_trust(stale=True) < 0.5


def test_upstream_that_returns_keeps_its_in_flight_calls():
    """Guards against more attempts than slots at an upstream.

    An upstream that is briefly missing from the host list still runs the
    attempts that were sent to it before.
    """
    view = loads.LoadView()
    listed = helpers.make_upstreams(2)
    view.set_upstreams(listed=listed, now=0.0)
    view.get("u0").local_in_flight = 3
    view.set_upstreams(listed=listed[1:], now=1.0)
    assert [r.upstream.upstream_id for r in view.eligible] == ["u1"]
    view.set_upstreams(listed=listed, now=2.0)
    assert view.get("u0").local_in_flight == 3


def test_drain_that_is_undone_ends():
    """Guards against an upstream that stays out of use until a restart.

    Its drain mark was removed, but the gateway had marked it as draining.
    """
    view = loads.LoadView()
    (listed,) = helpers.make_upstreams(1)
    view.set_upstreams(listed=[listed], now=0.0)
    view.mark_draining("u0")
    marked = dataclasses.replace(listed, leaving=True)
    view.set_upstreams(listed=[marked], now=1.0)
    assert view.eligible == []
    view.set_upstreams(listed=[listed], now=2.0)
    assert [r.upstream.upstream_id for r in view.eligible] == ["u0"]


def test_upstream_that_reports_draining_stays_out_of_use():
    """Guards against a list that overrules an upstream's own report."""
    view = loads.LoadView()
    (listed,) = helpers.make_upstreams(1)
    marked = dataclasses.replace(listed, leaving=True)
    view.set_upstreams(listed=[marked], now=0.0)
    view.record_report(
        record=view.get("u0"),
        load=upstreams.LoadReport(
            in_flight=0, slots=3, phase=upstreams.UpstreamPhase.DRAINING
        ),
        now=0.5,
    )
    view.set_upstreams(listed=[listed], now=1.0)
    assert view.eligible == []


def test_returning_upstream_ramps_up():
    """Guards against a returning upstream that gets its full load at once."""
    record = loads.UpstreamLoad(upstream=helpers.make_upstreams(1, slots=4)[0])
    record.ramp_starts_at = 0.0
    assert [record.attempt_limit(t) for t in (0.0, 2.5, 6.0)] == [1, 2, 4]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    slots=st.integers(1, 64),
    times=st.lists(st.floats(0.0, 10.0), min_size=1, max_size=30),
)
def test_ramp_never_decreases_and_ends_with_every_slot(slots, times):
    """Guards against a ramp that overshoots, decreases or never ends."""
    listed = helpers.make_upstreams(1, slots=slots)
    record = loads.UpstreamLoad(upstream=listed[0])
    record.slots = slots
    record.ramp_starts_at = 0.0
    limits = [record.attempt_limit(now) for now in sorted(times)]
    assert limits == sorted(limits)
    for now, limit in zip(sorted(times), limits, strict=True):
        assert 1 <= limit <= max(1, slots * (0.1 + now / 5.0) + 1e-6)
    assert record.attempt_limit(5.0) == slots


@pytest.mark.parametrize("change", ["renewed", "removed", "other port"])
@pytest.mark.parametrize("in_flight", [0, 1])
def test_pause_and_ejection_outlive_a_change_of_the_entry(
    change: str, in_flight: int
) -> None:
    """Guards against calls to an upstream that asked for a pause or failed.

    Its entry is renewed, gets another port, or is removed and written again.
    """
    view = loads.LoadView()
    (paused, ejected, other) = helpers.make_upstreams(3)
    view.set_upstreams(listed=[paused, ejected, other], now=0.0)
    for upstream in (paused, ejected):
        view.get(upstream.upstream_id).local_in_flight = in_flight
    if change == "removed":
        view.set_upstreams(listed=[other], now=1.0)
    view.apply_notice(paused, upstreams.Notice(pause_s=60.0), 2.0)
    record = view.get(ejected.upstream_id)
    record.local_in_flight = 0
    view.remove_if_idle(record)
    record.ejected_until = 32.0
    if change == "other port":
        paused = dataclasses.replace(paused, port=2)
        ejected = dataclasses.replace(ejected, port=2)
    view.set_upstreams(listed=[paused, ejected, other], now=3.0)
    assert view.get(paused.upstream_id).paused_until == 62.0
    assert view.get(ejected.upstream_id).ejected_until == 32.0
    assert len(view.eligible) == 3


def test_next_start_of_a_paused_upstream_is_used() -> None:
    """Guards against a pause that another process under the id has to keep."""
    view = loads.LoadView()
    (upstream,) = helpers.make_upstreams(1)
    view.set_upstreams(listed=[upstream], now=0.0)
    view.apply_notice(upstream, upstreams.Notice(pause_s=60.0), 1.0)
    view.set_upstreams(listed=[], now=2.0)
    restarted = dataclasses.replace(upstream, started_ms=5)
    view.set_upstreams(listed=[restarted], now=3.0)
    assert view.get(upstream.upstream_id).paused_until < 3.0
    view.apply_notice(upstream, upstreams.Notice(pause_s=60.0), 4.0)
    assert view.get(upstream.upstream_id).paused_until < 4.0


def test_upstream_with_a_new_address_is_used_again() -> None:
    """Guards against an upstream that stays out of use for good.

    Another process answered at its former address.
    """
    view = loads.LoadView()
    (upstream,) = helpers.make_upstreams(1)
    view.set_upstreams(listed=[upstream], now=0.0)
    view.mark_draining(upstream.upstream_id)
    view.set_upstreams(listed=[], now=1.0)
    view.set_upstreams(listed=[upstream], now=2.0)
    assert view.eligible == []
    moved = dataclasses.replace(upstream, port=2)
    view.set_upstreams(listed=[moved], now=3.0)
    assert len(view.eligible) == 1


def test_memory_of_removed_upstreams_is_bounded() -> None:
    """Guards against a record for each upstream that was ever listed."""
    view = loads.LoadView()
    listed = helpers.make_upstreams(1000)
    for upstream in listed:
        view.set_upstreams(listed=[upstream], now=0.0)
    kept = [u for u in listed if view.get(u.upstream_id) is not None]
    assert kept == list(listed[-65:])
