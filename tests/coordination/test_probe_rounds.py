"""Tests of the rate of load probes."""

import hypothesis
from hypothesis import strategies as st

from tanagerspoke.coordination import probe_rounds
from tanagerspoke.state import loads
from tests.coordination import helpers


def _records(count: int) -> list[loads.UpstreamLoad]:
    return [
        loads.UpstreamLoad(upstream=upstream)
        for upstream in helpers.make_upstreams(count)
    ]


def _send(
    probes: probe_rounds.ProbeRounds,
    records: list[loads.UpstreamLoad],
    *,
    nodes: int,
    now: float,
) -> int:
    """Starts and ends a round; returns the number of its probes."""
    sent = probes.next_round(
        records=records, queued_calls=1, all_zones=True, nodes=nodes, now=now
    )
    for record in sent:
        probes.end_probe(
            upstream_id=record.upstream.upstream_id,
            reported=True,
            responded=True,
        )
    return len(sent)


def _probes(rate_per_upstream_s: float) -> probe_rounds.ProbeRounds:
    return probe_rounds.ProbeRounds(
        availability_zone="a", rate_per_upstream_s=rate_per_upstream_s
    )


def test_rate_below_one_probe_a_second_allows_a_round() -> None:
    """Guards against a node of a large fleet that may never probe."""
    probes = _probes(21.0)
    assert _send(probes, _records(6), nodes=170, now=0.0) == 3


def test_exhausted_until_the_next_token() -> None:
    """Guards against calls that wait for a probe that comes too late."""
    probes = _probes(21.0)
    records = _records(6)
    assert not probes.is_exhausted(now=0.0, until=0.1)
    while _send(probes, records, nodes=170, now=0.0):
        pass
    # Of 5 s at 0.74 tokens a second, 0.71 are left: the next one comes after
    # 0.4 s.
    assert probes.is_exhausted(now=0.0, until=0.35)
    assert not probes.is_exhausted(now=0.0, until=0.45)


@hypothesis.given(
    waits_s=st.lists(st.floats(0.0, 3.0), max_size=60),
    nodes=st.integers(1, 200),
)
def test_saved_probes_never_exceed_the_rate(
    waits_s: list[float], nodes: int
) -> None:
    """Guards against more probes than the fleet's limit over a longer time."""
    rate_per_upstream_s = 20.0
    probes = _probes(rate_per_upstream_s)
    records = _records(5)
    now = 0.0
    sent = _send(probes, records, nodes=nodes, now=now)
    for wait_s in waits_s:
        now += wait_s
        sent += _send(probes, records, nodes=nodes, now=now)
    rate_per_s = rate_per_upstream_s * len(records) / nodes
    saved = max(rate_per_s, min(32.0, 5.0 * rate_per_s), 3.0)
    assert sent <= saved + now * rate_per_s + 1e-6
