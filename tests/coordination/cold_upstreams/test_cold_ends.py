"""Ends of cold periods in entries that nodes send each other."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from tanagerspoke.coordination import upstream_listing
from tanagerspoke.protocol import listing
from tests.coordination import helpers

_UPSTREAM = dataclasses.replace(helpers.make_upstreams(1)[0], started_ms=100)


def _entry(
    sequence: int, cold_s: float, started_ms: int = 100
) -> listing.ListedUpstream:
    return listing.ListedUpstream(
        upstream=dataclasses.replace(_UPSTREAM, started_ms=started_ms),
        sequence=sequence,
        remaining_cold_s=cold_s,
    )


def _read(
    node: upstream_listing.UpstreamListing,
    entry: listing.ListedUpstream,
    now: float,
) -> bool:
    change = listing.ListChange(upstream_id="u0", entry=entry)
    return node.apply_changes(
        listing.ListChanges(position=1, changes=(change,), complete=True), now
    )


@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.floats(0.0, 3.0),
            st.sampled_from(["write", "read", "send"]),
            st.sampled_from([0, 1]),
        ),
        max_size=30,
    ),
    cold_s=st.floats(0.1, 20.0),
)
# The second node reads an entry first when it is 1 s old.
@hypothesis.example(
    steps=[(0.0, "read", 0), (1.0, "read", 1), (0.0, "write", 0)], cold_s=1.0
)
def test_copies_of_entries_do_not_prolong_a_cold_period(steps, cold_s) -> None:
    """Guards against an old entry that makes an upstream cold once more.

    Nodes read an entry any time after it was written, again and again, and send
    it to each other. None takes the upstream as warm before it is, and none as
    cold for longer than the greatest age that an entry had when a node that
    did not know it read it.
    """
    nodes = [upstream_listing.UpstreamListing() for _ in range(2)]
    now = written_at = longest_age_s = 0.0
    entry = _entry(1, cold_s)
    # Newest entry that each node has read or was sent.
    known = [0, 0]
    for wait_s, step, number in steps:
        now += wait_s
        if step == "write":
            left_s = max(0.0, cold_s - now)
            entry, written_at = _entry(entry.sequence + 1, left_s), now
        elif step == "read":
            if entry.sequence > known[number]:
                longest_age_s = max(longest_age_s, now - written_at)
                known[number] = entry.sequence
            _read(nodes[number], entry, now)
        elif nodes[number].position >= 0:
            nodes[1 - number].apply_snapshot(
                nodes[number].entries_at(now), position=1, now=now
            )
            known[1 - number] = max(known[1 - number], known[number])
        for node in nodes:
            for until in node.cold_until.values():
                ages = longest_age_s + max(0.0, now - written_at)
                assert until >= min(now, cold_s) - 1e-6
                assert until <= max(cold_s, now) + ages + 1e-6


def test_resent_entry_is_not_news() -> None:
    """Guards against a longer period, and a full list sent, for each copy."""
    node = upstream_listing.UpstreamListing()
    assert _read(node, _entry(1, 10.0), 0.0)
    for now in (1.0, 5.0, 9.0, 30.0):
        assert not _read(node, _entry(1, 10.0), now)
        assert node.cold_until == {"u0": 10.0}
    assert node.entries_at(4.0)[0].remaining_cold_s == 6.0
    assert node.entries_at(30.0)[0].remaining_cold_s == 0.0
    assert not _read(node, _entry(2, 0.0), 31.0)


def test_newer_entry_and_new_process_count() -> None:
    """Guards against an end that a faulty or earlier entry stated."""
    node = upstream_listing.UpstreamListing()
    _read(node, _entry(1, 600.0), 0.0)
    assert _read(node, _entry(2, 5.0), 1.0)
    assert node.cold_until == {"u0": 6.0}
    assert _read(node, _entry(3, 8.0), 20.0)
    assert node.cold_until == {"u0": 28.0}
    assert _read(node, _entry(1, 0.0, started_ms=200), 21.0)
    assert node.cold_until == {}
