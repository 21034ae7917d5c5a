"""Tests which upstreams are in use after changes of the platform's list."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from tanagerspoke.coordination import upstream_listing
from tanagerspoke.protocol import listing
from tanagerspoke.protocol import upstreams
from tanagerspoke.protocol import zone_feed


def _entry(
    name: str = "u1",
    *,
    sequence: int = 1,
    started_ms: int = 100,
    leaving: bool = False,
) -> listing.ListedUpstream:
    return listing.ListedUpstream(
        upstream=upstreams.Upstream(
            upstream_id=name,
            service="s",
            address="127.0.0.1",
            port=1,
            availability_zone="a",
            leaving=leaving,
            started_ms=started_ms,
        ),
        sequence=sequence,
    )


def _changes(
    position: int, *entries: listing.ListedUpstream, complete: bool = False
) -> listing.ListChanges:
    return listing.ListChanges(
        position=position,
        changes=tuple(
            listing.ListChange(upstream_id=e.upstream.upstream_id, entry=e)
            for e in entries
        ),
        complete=complete,
    )


def _removal(position: int, name: str = "u1") -> listing.ListChanges:
    return listing.ListChanges(
        position=position,
        changes=(listing.ListChange(upstream_id=name, entry=None),),
        complete=False,
    )


def _names(upstream_list: upstream_listing.UpstreamListing) -> set[str]:
    return {u.upstream_id for u in upstream_list.upstreams}


def test_late_report_does_not_undo_a_drain() -> None:
    """Guards against a late report that makes a leaving upstream ready."""
    upstream_list = upstream_listing.UpstreamListing()
    upstream_list.apply_changes(_changes(1, _entry(sequence=1)), 0.0)
    upstream_list.apply_changes(
        _changes(2, _entry(sequence=3, leaving=True)), 1.0
    )
    assert not upstream_list.apply_changes(_changes(3, _entry(sequence=2)), 2.0)
    assert upstream_list.upstreams[0].leaving


def test_late_report_does_not_bring_back_an_upstream_that_left() -> None:
    """Guards against sending calls to an upstream that was removed."""
    upstream_list = upstream_listing.UpstreamListing()
    upstream_list.apply_changes(_changes(1, _entry(sequence=2)), 0.0)
    assert upstream_list.apply_changes(_removal(2), 1.0)
    assert not upstream_list.apply_changes(_changes(3, _entry(sequence=2)), 2.0)
    assert upstream_list.apply_changes(
        _changes(4, _entry(sequence=1, started_ms=200)), 3.0
    )
    assert _names(upstream_list) == {"u1"}


def _leaving(
    name: str = "u1", started_ms: int = 100
) -> zone_feed.LeavingUpstream:
    return zone_feed.LeavingUpstream(upstream_id=name, started_ms=started_ms)


def test_upstream_that_said_it_leaves_stays_out_of_use() -> None:
    """Guards against a leaving upstream that an entry brings back.

    Newer entries of the same process, a removal and a new listing, and another
    node's older state all leave it out of use; its next start does not.
    """
    upstream_list = upstream_listing.UpstreamListing()
    upstream_list.apply_changes(_changes(1, _entry()), 0.0)
    assert upstream_list.mark_leaving(_leaving())
    assert not upstream_list.mark_leaving(_leaving())
    assert upstream_list.upstreams[0].leaving
    upstream_list.apply_changes(_changes(2, _entry(sequence=9)), 1.0)
    assert upstream_list.upstreams[0].leaving
    upstream_list.apply_changes(_removal(3), 2.0)
    upstream_list.apply_changes(_changes(4, _entry(sequence=12)), 3.0)
    assert upstream_list.upstreams[0].leaving
    upstream_list.apply_snapshot((_entry(sequence=14),), position=5, now=0.0)
    assert upstream_list.upstreams[0].leaving
    upstream_list.apply_changes(
        _changes(6, _entry(sequence=1, started_ms=200)), 4.0
    )
    assert not upstream_list.upstreams[0].leaving
    assert not upstream_list.mark_leaving(_leaving())
    assert not upstream_list.upstreams[0].leaving


def test_restarted_node_learns_of_leaving_upstreams_from_a_peer() -> None:
    """Guards against a restart that makes a leaving upstream usable again."""
    peer = upstream_listing.UpstreamListing()
    peer.mark_leaving(_leaving())
    restarted = upstream_listing.UpstreamListing()
    for upstream in peer.leaving:
        restarted.mark_leaving(upstream)
    restarted.apply_changes(_changes(1, _entry()), 0.0)
    assert restarted.upstreams[0].leaving


def test_memory_of_leaving_upstreams_is_bounded() -> None:
    """Guards against memory and messages that grow with every restart."""
    upstream_list = upstream_listing.UpstreamListing()
    for number in range(6000):
        upstream_list.mark_leaving(_leaving(f"u{number}"))
    assert len(upstream_list.leaving) == 256
    assert upstream_list.leaving[-1].upstream_id == "u5999"


def test_memory_of_upstreams_that_left_is_bounded() -> None:
    """Guards against memory that grows with every restart of an upstream."""
    upstream_list = upstream_listing.UpstreamListing()
    position = 0
    for number in range(5000):
        position += 2
        upstream_list.apply_changes(
            _changes(position, _entry(f"u{number}")), 0.0
        )
        upstream_list.apply_changes(_removal(position + 1, f"u{number}"), 0.0)
    assert upstream_list.removed_count == 4096
    # The upstreams removed last are remembered; their reports may still arrive.
    late_reports = _changes(position + 2, _entry("u4999"), _entry("u904"))
    assert not upstream_list.apply_changes(late_reports, 0.0)


def test_unreadable_row_keeps_the_last_entry_active() -> None:
    """Guards against a malformed row that removes an upstream."""
    upstream_list = upstream_listing.UpstreamListing()
    upstream_list.apply_changes(_changes(1, _entry()), 0.0)
    change = listing.ListChange(
        upstream_id="u1", entry=None, problem="unreadable"
    )
    upstream_list.apply_changes(
        listing.ListChanges(position=2, changes=(change,), complete=True), 1.0
    )
    assert _names(upstream_list) == {"u1"}


def test_entries_lapsed_in_an_outage_are_held() -> None:
    """Guards against dropping all upstreams when the store recovers."""
    upstream_list = upstream_listing.UpstreamListing()
    upstream_list.apply_changes(
        _changes(0, _entry(), _entry("u2"), complete=True), 0.0
    )
    upstream_list.record_store_recovery()
    assert not upstream_list.apply_changes(_changes(21, complete=True), 11.0)
    assert _names(upstream_list) == {"u1", "u2"}
    assert upstream_list.held_count == 2
    upstream_list.apply_changes(_changes(22, _entry(sequence=2)), 12.0)
    assert (
        upstream_list.next_wakeup
        == 11.0 + upstream_listing.STORE_RECOVERY_GRACE_S
    )
    assert upstream_list.expire(13.0)
    assert _names(upstream_list) == {"u1"}


def test_few_missing_entries_after_a_failure_are_removed() -> None:
    """Guards against holding the entries of upstreams that left.

    A node that was cut off from the store sent them calls for the whole grace
    time after it reached the store again.
    """
    upstream_list = upstream_listing.UpstreamListing()
    listed = [_entry(f"u{i}") for i in range(9)]
    upstream_list.apply_changes(_changes(0, *listed, complete=True), 0.0)
    upstream_list.record_store_recovery()
    assert upstream_list.apply_changes(
        _changes(5, *listed[:6], complete=True), 12.0
    )
    assert _names(upstream_list) == {f"u{i}" for i in range(6)}


def test_older_snapshot_is_ignored() -> None:
    """Guards against applying the older list of a node that was cut off.

    With that list, calls go to upstreams that have left.
    """
    upstream_list = upstream_listing.UpstreamListing()
    upstream_list.apply_changes(_changes(1, _entry(), _entry("u2")), 0.0)
    upstream_list.apply_changes(_removal(5), 1.0)
    assert not upstream_list.apply_snapshot(
        (_entry(), _entry("u2")), position=4, now=0.0
    )
    assert _names(upstream_list) == {"u2"}
    assert upstream_list.apply_snapshot((_entry("u3"),), position=6, now=0.0)
    assert _names(upstream_list) == {"u3"}


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["u1", "u2"]),
            st.integers(1, 3),
            st.integers(1, 4),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_newest_report_wins_in_any_order(
    reports: list[tuple[str, int, int, bool]],
) -> None:
    """Guards against an older report that replaces a newer one."""
    upstream_list = upstream_listing.UpstreamListing()
    newest: dict[str, tuple[int, int]] = {}
    for position, (name, started_ms, sequence, leaving) in enumerate(reports):
        entry = _entry(
            name, started_ms=started_ms, sequence=sequence, leaving=leaving
        )
        upstream_list.apply_changes(_changes(position, entry), float(position))
        key = (started_ms, sequence)
        newest[name] = max(newest.get(name, key), key)
    active = {
        e.upstream.upstream_id: (e.upstream.started_ms, e.sequence)
        for e in upstream_list.entries_at(0.0)
    }
    assert active == newest


def test_same_id_with_a_later_start_is_another_upstream() -> None:
    """Guards against treating a restarted upstream as the old process."""
    upstream_list = upstream_listing.UpstreamListing()
    upstream_list.apply_changes(_changes(1, _entry(sequence=50)), 0.0)
    restarted = _entry(sequence=1, started_ms=200)
    assert upstream_list.apply_changes(_changes(2, restarted), 1.0)
    assert dataclasses.astuple(upstream_list.upstreams[0])[-1] == 200
