"""Tests of the conversion of manifests and worker entries."""

import contextlib
import json
from typing import Any
import zlib

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke import exceptions
from tanagerspoke.platform import manifest
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import listing
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import zone_feed
from tanagerspoke.transport.peers import zone_feed_codec

MANIFEST: dict[str, Any] = {
    "version": "0000000c",
    "routes": {
        "r-1": {
            "host": "Shop.example",
            "prefix": "/a/",
            "kind": "safe",
            "timeout_s": 2,
            "target_latency_s": 0.6,
            "priority": 2,
            "max_attempts": 2,
            "traffic_split": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
        },
        "r-2": {
            "host": "shop.example",
            "prefix": "/b/",
            "kind": "unsafe",
            "timeout_s": 2.5,
            "target_latency_s": 0.8,
            "priority": 1,
            "service": "one",
            "max_attempts": 1,
        },
    },
    "services": {
        "one": {"health_path": "/healthy", "max_conns": 220},
        "two": {},
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}
WORKER: dict[str, Any] = {
    "service": "one",
    "address": "127.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_s": 0,
    "seq_no": 4,
    "born": 1700000000000,
}


def _encode(message: Any) -> bytes:
    return json.dumps(message).encode()


def test_manifest() -> None:
    """Guards against an unsafe route that is decoded as idempotent.

    Hosts, weights, services and health paths must be decoded correctly too.
    """
    table = manifest.decode_manifest(_encode(MANIFEST))
    assert table.version == 12
    read, write = table.routes
    assert read.idempotent
    assert read.host == "shop.example"
    assert [part.weight for part in read.services] == [90, 10]
    assert not write.idempotent
    assert write.services[0].service == "one"
    assert table.services["one"].health_path == "/healthy"


@pytest.mark.parametrize(
    "change",
    [
        {"version": "12x"},
        {"version": "0x00000c"},
        {"version": 12},
        {"routes": []},
        {"services": None},
    ],
)
def test_invalid_manifest(change: dict[str, Any]) -> None:
    """Guards against applying bytes that are not a manifest."""
    with pytest.raises(exceptions.ProtocolError):
        manifest.decode_manifest(_encode(MANIFEST | change))


def _decode_with_route(**changes: Any) -> routing.RoutingTable:
    """Returns the table of a manifest whose route `r-1` is changed."""
    routes = MANIFEST["routes"]
    changed = routes | {"r-1": routes["r-1"] | changes}
    return manifest.decode_manifest(_encode(MANIFEST | {"routes": changed}))


def test_download_may_run_more_than_once() -> None:
    """Guards against a known kind that takes the manifest out of service.

    Every request was refused because one route was of kind `download`.
    """
    table = _decode_with_route(kind="download")
    assert table.routes[0].idempotent
    assert table.problems == ()


def test_route_of_unknown_kind_runs_at_most_once() -> None:
    """Guards against a duplicate run of a kind that is newer than the code."""
    table = _decode_with_route(kind="stream")
    assert not table.routes[0].idempotent
    (problem,) = table.problems
    assert problem.name == "r-1"
    assert "stream" in problem.problem


_UNUSABLE_ROUTES: list[dict[str, Any]] = [
    {"timeout_s": 0},
    {"timeout_s": 1e300},
    {"timeout_s": "2"},
    {"target_latency_s": -1},
    {"max_attempts": 0},
    {"max_attempts": 10**30},
    {"priority": -1},
    {"traffic_split": [{"service": "one", "weight": 0}]},
    {"traffic_split": [{"service": "one", "weight": -1}]},
    {"traffic_split": [{"service": "a\r\nb", "weight": 1}]},
    {"traffic_split": [], "service": None},
]


@pytest.mark.parametrize("change", _UNUSABLE_ROUTES)
def test_unusable_route_leaves_the_others_in_force(
    change: dict[str, Any],
) -> None:
    """Guards against one route that takes all others out of service."""
    table = _decode_with_route(**change)
    assert [route.name for route in table.routes] == ["r-2"]
    (unusable,) = table.unusable_routes
    assert unusable == routing.UnusableRoute(
        name="r-1", host="shop.example", path_prefix="/a/"
    )
    assert [problem.name for problem in table.problems] == ["r-1"]


def test_route_with_unknown_place() -> None:
    """Guards against 404 for a route whose host or prefix is unreadable."""
    no_host = _decode_with_route(host=None).unusable_routes[0]
    assert (no_host.host, no_host.path_prefix) == (None, None)
    no_prefix = _decode_with_route(prefix="a").unusable_routes[0]
    assert (no_prefix.host, no_prefix.path_prefix) == ("shop.example", None)


def test_part_of_a_split_without_weight_gets_nothing() -> None:
    """Guards against calls to a service whose weight is 0."""
    table = _decode_with_route(
        traffic_split=[
            {"service": "one", "weight": 0},
            {"service": "two", "weight": 5},
        ]
    )
    assert [part.service for part in table.routes[0].services] == ["two"]


def test_unreadable_service_and_limits_leave_the_routes_in_force() -> None:
    """Guards against a service or limits that end the use of a manifest."""
    table = manifest.decode_manifest(
        _encode(
            MANIFEST
            | {
                "services": {"one": {"health_path": 7}, "two": {}},
                "limits": MANIFEST["limits"] | {"idle_timeout_s": -1},
            }
        )
    )
    assert len(table.routes) == 2
    assert table.services["one"].health_path == "/health"
    assert table.limits is None
    assert {p.part for p in table.problems} == {"service", "limits"}


def test_problems_are_bounded() -> None:
    """Guards against a manifest whose problems fill the log and the feed."""
    routes = {"r" * 5000 + str(number): {} for number in range(1000)}
    table = manifest.decode_manifest(_encode(MANIFEST | {"routes": routes}))
    assert len(table.unusable_routes) == 1000
    assert len(table.problems) <= 32
    assert all(
        len(problem.name) + len(problem.problem) <= 600
        for problem in table.problems
    )


def test_worker() -> None:
    """Guards against decoding that loses the identity of a worker.

    Without id, start time and sequence number, a restarted worker could not be
    distinguished from its predecessor.
    """
    entry = manifest.decode_worker(
        worker_id="i-1", value=_encode(WORKER), services=frozenset({"one"})
    )
    assert entry.upstream.upstream_id == "i-1"
    assert entry.upstream.port == 8080
    assert entry.upstream.started_ms == 1700000000000
    assert entry.sequence == 4
    assert not entry.upstream.leaving


@pytest.mark.parametrize(
    "change",
    [
        {"slots": "3"},
        {"state": "asleep"},
        {"service": "three"},
        {"address": "nowhere"},
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:-80"},
        {"address": "127.0.0.1: 80"},
        {"address": "127.0.0.1:" + "9" * 50},
        {"address": "host.example:80"},
        {"address": "0.0.0.0:80"},
        {"slots": 0},
        {"slots": 10**9},
        {"slots": 10**30},
        {"born": None},
        {"born": -1},
        {"born": 10**30},
        {"seq_no": 2**64},
        {"zone": "a" * 201},
        {"state": ["ready"]},
    ],
)
def test_invalid_worker(change: dict[str, Any]) -> None:
    """Guards against accepting malformed entries or unknown services.

    Not only workers can write to the table.
    """
    with pytest.raises(exceptions.ProtocolError):
        manifest.decode_worker(
            worker_id="i-1",
            value=_encode(WORKER | change),
            services=frozenset({"one", "two"}),
        )


def _nested(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


def test_deeply_nested_documents() -> None:
    """Guards against `RecursionError`, which ended the process every time.

    The nesting may be in a field that is not used.
    """
    odd = _encode(WORKER)[:-1] + b', "odd": ' + _nested(100_000) + b"}"
    with pytest.raises(exceptions.ProtocolError):
        manifest.decode_worker(worker_id="i-1", value=odd, services=None)
    with pytest.raises(exceptions.ProtocolError):
        manifest.decode_manifest(odd)
    with pytest.raises(exceptions.ProtocolError):
        manifest.decode_node(name="n", value=odd)


@pytest.mark.parametrize(
    "worker_id", ["a\r\nX: y", "ä", "a\0", "a b", "", "a" * 201]
)
def test_worker_id_outside_the_range_of_names(worker_id: str) -> None:
    """Guards against ids that would end or change a request's head.

    Followers of the zone feed reject the others too: a `LeavingUpdate` with
    such an id would end their feed.
    """
    with pytest.raises(exceptions.ProtocolError):
        manifest.decode_worker(
            worker_id=worker_id, value=_encode(WORKER), services=None
        )


_JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
    | st.sampled_from(["safe", "ready", "/a/", "127.0.0.1:80", "0000000a"]),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.sampled_from([*WORKER, *MANIFEST, *MANIFEST["routes"]["r-1"]]),
            children,
            max_size=6,
        )
    ),
    max_leaves=20,
)


def _is_in_range(worker: listing.ListedUpstream) -> bool:
    upstream = worker.upstream
    return (
        0 < upstream.port < 65_536
        and 0 < upstream.slots <= 65_536
        and 0 <= upstream.started_ms < 2**43
        and 0 <= worker.sequence <= 2**53
    )


@hypothesis.given(
    changes=st.dictionaries(st.sampled_from(sorted(WORKER)), _JSON_VALUES)
)
def test_any_worker_entry_is_in_range_or_rejected(
    changes: dict[str, Any],
) -> None:
    """Guards against entries that can be decoded but not used or passed on."""
    try:
        worker = manifest.decode_worker(
            worker_id="i-1", value=_encode(WORKER | changes), services=None
        )
    except exceptions.ProtocolError:
        return
    assert _is_in_range(worker)
    frame = zone_feed_codec.encode_frame(
        zone_feed.UpstreamsUpdate(position=1, entries=(worker,))
    )
    decoded = zone_feed_codec.decode_update(frame[4:])
    assert decoded.entries == (worker,)


@hypothesis.given(
    changes=st.dictionaries(st.sampled_from(sorted(MANIFEST)), _JSON_VALUES),
    route=st.dictionaries(
        st.sampled_from(sorted(MANIFEST["routes"]["r-1"])), _JSON_VALUES
    ),
)
def test_any_manifest_can_be_passed_on_or_is_rejected(
    changes: dict[str, Any], route: dict[str, Any]
) -> None:
    """Guards against a manifest that the other nodes of a zone reject."""
    routes = MANIFEST["routes"]
    body = MANIFEST | {"routes": routes | {"r-1": routes["r-1"] | route}}
    try:
        table = manifest.decode_manifest(_encode(body | changes))
    except exceptions.ProtocolError:
        return
    frame = zone_feed_codec.encode_frame(zone_feed.RoutingUpdate(table=table))
    assert zone_feed_codec.decode_update(frame[4:]).table == table


@hypothesis.given(value=st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(value: bytes) -> None:
    """Guards against exceptions that the callers of a decoder don't expect."""
    for decode in (
        manifest.decode_manifest,
        lambda data: manifest.decode_node(name="n", value=data),
        lambda data: manifest.decode_worker(
            worker_id="i", value=data, services=None
        ),
        zone_feed_codec.decode_update,
        lambda data: zone_feed_codec.decode_update(zlib.compress(data)),
    ):
        with contextlib.suppress(exceptions.ProtocolError):
            decode(value)


def test_frame_that_expands_beyond_the_limit() -> None:
    """Guards against a small frame that fills the memory."""
    bomb = zlib.compress(bytes(100_000_000), 9)
    with pytest.raises(exceptions.ProtocolError):
        zone_feed_codec.decode_update(bomb)


def test_worker_with_invalid_utf8() -> None:
    """Guards against a decoding exception that stops the store follower."""
    with pytest.raises(exceptions.ProtocolError):
        manifest.decode_worker(
            worker_id="i-1", value=b"\xff\x00{", services=None
        )


_TENANTS: dict[str, Any] = {
    "shop-1": {
        "api_keys": ["key-1", "key-2"],
        "priority": 0,
        "rate_per_s": 107,
        "burst": 50,
    },
    "shop-2": {"api_keys": []},
}


def _decode_accounts(**tenants: Any) -> routing.RoutingTable:
    return manifest.decode_manifest(_encode(MANIFEST | {"tenants": tenants}))


def test_manifest_without_tenants_has_no_accounts() -> None:
    """Guards against keys being required where there are no accounts."""
    assert manifest.decode_manifest(_encode(MANIFEST)).accounts is None


def test_accounts() -> None:
    """Guards against tenants that are translated incorrectly."""
    table = _decode_accounts(**_TENANTS)
    assert table.problems == ()
    shop = table.accounts["shop-1"]
    assert shop.key_digests == (
        key_digests.digest("key-1"),
        key_digests.digest("key-2"),
    )
    assert (shop.priority, shop.calls_per_s, shop.burst_calls) == (0, 107, 50)
    without_keys = table.accounts["shop-2"]
    assert without_keys.key_digests == ()
    assert (without_keys.priority, without_keys.calls_per_s) == (None, 0)


def test_keys_do_not_leave_the_decoder() -> None:
    """Guards against keys in messages between nodes."""
    table = _decode_accounts(**_TENANTS)
    frame = zone_feed_codec.encode_update(zone_feed.RoutingUpdate(table=table))
    assert b"key-1" not in zlib.decompress(frame)
    decoded = zone_feed_codec.decode_update(frame)
    assert decoded.table.accounts == table.accounts


def test_key_of_two_accounts_is_valid_for_none() -> None:
    """Guards against a call that runs for the wrong account."""
    table = _decode_accounts(
        one={"api_keys": ["same", "own"]}, two={"api_keys": ["same"]}
    )
    assert table.accounts["one"].key_digests == (key_digests.digest("own"),)
    assert table.accounts["two"].key_digests == ()
    assert {p.name for p in table.problems} == {"one", "two"}


def test_unusable_account_leaves_the_others_in_force() -> None:
    """Guards against one bad account that takes all others down."""
    table = _decode_accounts(
        **_TENANTS, bad={"rate_per_s": -1}, **{"no name": {}}
    )
    assert table.accounts.keys() == _TENANTS.keys()
    assert {p.part for p in table.problems} == {routing.ConfigPart.ACCOUNT}
    assert {p.name for p in table.problems} == {"bad", "no name"}


def test_cold_limits_of_a_service() -> None:
    """Guards against limits of cold upstreams that are not read."""
    service = {"health_path": "/h", "cold_start_s": 3.0, "cold_per_s": 6.5}
    table = manifest.decode_manifest(
        _encode(MANIFEST | {"services": {"one": service, "two": {}}})
    )
    assert table.services["one"].cold_calls_per_s == 6.5
    assert table.services["one"].cold_start_s == 3.0
    assert table.services["two"].cold_calls_per_s == 0.0


def test_upload_runs_at_most_once() -> None:
    """Guards against uploads that are sent twice or reported as unknown."""
    table = _decode_with_route(kind="upload")
    assert table.problems == ()
    assert not table.routes[0].idempotent
