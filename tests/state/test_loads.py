"""Tests of the load view."""

import random

import hypothesis
from hypothesis import strategies as st

from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads
from tests.coordination import helpers


def _trust(stale: bool) -> float:
    view = loads.LoadView()
    view.replace(changed=helpers.make_upstreams(1, slots=9), now=0.0)
    record = view.get("u0")
    rng = random.Random(1)
    for step in range(2000):
        record.own = rng.randrange(1, 4)
        seen = rng.randrange(1, 4) if stale else record.own
        report = upstreams.LoadReport(
            in_flight=seen + rng.randrange(3), slots=9
        )
        view.report(record=record, load=report, now=float(step))
    return view.report_trust


def test_stale_reports_lose_their_weight():
    """Guards against choices that follow reports from the past."""
    assert _trust(stale=False) == 1.0
    assert _trust(stale=True) < 0.5


def test_upstream_that_returns_keeps_its_in_flight_calls():
    """Guards against more calls than slots after a gap in the host list."""
    view = loads.LoadView()
    listed = helpers.make_upstreams(2)
    view.replace(changed=listed, now=0.0)
    view.get("u0").own = 3
    view.replace(changed=listed[1:], now=1.0)
    assert [r.upstream.upstream_id for r in view.open] == ["u1"]
    view.replace(changed=listed, now=2.0)
    assert view.get("u0").own == 3


def test_returning_upstream_ramps_up():
    """Guards against a cold upstream that gets its full share at once."""
    record = loads.UpstreamLoad(upstream=helpers.make_upstreams(1, slots=4)[0])
    record.ramp_from = 0.0
    assert [record.limit(t) for t in (0.0, 2.5, 6.0)] == [1, 2, 4]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    slots=st.integers(1, 64),
    times=st.lists(st.floats(0.0, 10.0), min_size=1, max_size=30),
)
def test_ramp_never_falls_and_ends_with_every_slot(slots, times):
    """Guards against a ramp that overshoots, falls back or never ends."""
    listed = helpers.make_upstreams(1, slots=slots)
    record = loads.UpstreamLoad(upstream=listed[0])
    record.slots = slots
    record.ramp_from = 0.0
    limits = [record.limit(now) for now in sorted(times)]
    assert limits == sorted(limits)
    for now, limit in zip(sorted(times), limits, strict=True):
        assert 1 <= limit <= max(1, slots * (0.1 + now / 5.0) + 1e-6)
    assert record.limit(5.0) == slots
