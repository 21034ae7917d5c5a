"""Limits on the rest of connections that upstreams forget."""

import math

import pytest

from tanagerspoke.coordination import idle_limits


@pytest.fixture
def limits() -> idle_limits.IdleLimits:
    return idle_limits.IdleLimits()


def _reset(
    limits: idle_limits.IdleLimits,
    upstream_id: str,
    *,
    rested_s: float = 0.4,
    after_s: float = 0.002,
    now: float = 0.0,
) -> bool:
    return limits.note_reset(
        upstream_id=upstream_id, rested_s=rested_s, after_s=after_s, now=now
    )


def test_one_reset_limits_its_upstream(limits: idle_limits.IdleLimits) -> None:
    """Guards against a second write that is lost at the same upstream."""
    assert limits.limit_s(upstream_id="u1", now=0.0) == math.inf
    assert _reset(limits, "u1")
    assert limits.limit_s(upstream_id="u1", now=1.0) == pytest.approx(0.2)
    assert limits.limit_s(upstream_id="u2", now=1.0) == math.inf


def test_resets_of_two_upstreams_limit_the_service(
    limits: idle_limits.IdleLimits,
) -> None:
    """Guards against a lost write at each upstream of a service in turn."""
    _reset(limits, "u1")
    _reset(limits, "u2", rested_s=0.3, now=1.0)
    assert limits.limit_s(upstream_id="u3", now=2.0) == pytest.approx(0.15)


def test_limit_ends_some_time_after_the_last_reset(
    limits: idle_limits.IdleLimits,
) -> None:
    """Guards against new connections for good after a short disruption."""
    _reset(limits, "u1")
    _reset(limits, "u2", now=6.0)
    assert limits.limit_s(upstream_id="u3", now=9.9) < 1.0
    assert limits.limit_s(upstream_id="u3", now=10.0) == math.inf
    assert limits.limit_s(upstream_id="u2", now=15.9) < 1.0
    assert limits.limit_s(upstream_id="u2", now=16.0) == math.inf


@pytest.mark.parametrize(("rested_s", "after_s"), [(0.01, 0.002), (0.4, 0.3)])
def test_other_resets_tell_nothing(
    limits: idle_limits.IdleLimits, rested_s: float, after_s: float
) -> None:
    """Guards against limits from an upstream that crashed at its work."""
    assert not _reset(limits, "u1", rested_s=rested_s, after_s=after_s)
    assert limits.limit_s(upstream_id="u1", now=0.0) == math.inf


def test_longer_rest_does_not_raise_the_limit(
    limits: idle_limits.IdleLimits,
) -> None:
    """Guards against a limit that follows the last reset only."""
    _reset(limits, "u1", rested_s=0.2)
    assert not _reset(limits, "u1", rested_s=2.0, now=1.0)
    assert limits.limit_s(upstream_id="u1", now=1.0) == pytest.approx(0.1)
