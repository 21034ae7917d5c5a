"""Route lookup, versions of the routing table and weighted services."""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke.protocol import routing
from tanagerspoke.state import routes


def _route(
    name: str = "r",
    *,
    host: str = "h.example",
    prefix: str = "/a/",
    weights: tuple[float, ...] = (1.0,),
) -> routing.Route:
    return routing.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        idempotent=True,
        timeout_s=2.0,
        target_latency_s=0.6,
        max_attempts=2,
        priority=0,
        services=tuple(
            routing.WeightedService(service=f"s{i}", weight=weight)
            for i, weight in enumerate(weights)
        ),
    )


def _table(version: int, *table_routes: routing.Route) -> routing.RoutingTable:
    return routing.RoutingTable(
        version=version,
        routes=table_routes,
        services={},
        limits=routing.CallerLimits(
            max_header_bytes=1,
            max_body_bytes=1,
            header_timeout_s=1.0,
            idle_timeout_s=1.0,
        ),
    )


def _state(seed: int = 1) -> routes.RouteState:
    return routes.RouteState(rng=random.Random(seed))


def test_older_versions_are_ignored() -> None:
    """Guards against a node that reverts to an older configuration."""
    state = _state()
    assert state.apply(_table(5, _route()))
    assert not state.apply(_table(4))
    assert not state.apply(_table(5))
    assert state.find(host="h.example", path="/a/x") is not None


_PREFIXES = ["/", "/a/", "/a/b/", "/a/b/c/", "/ab/"]


@hypothesis.given(
    prefixes=st.lists(st.sampled_from(_PREFIXES), unique=True),
    path=st.text("abc/", max_size=8).map(lambda text: "/" + text),
)
def test_longest_prefix_wins(prefixes: list[str], path: str) -> None:
    """Guards against a request that is sent to a less specific route."""
    state = _state()
    state.apply(_table(1, *(_route(prefix=p, name=p) for p in prefixes)))
    found = state.find(host="H.Example:80", path=path + "?q=/a/b/")
    matching = [p for p in prefixes if path.startswith(p)]
    expected = max(matching, key=len, default=None)
    assert (found.path_prefix if found else None) == expected


def test_unusable_routes_are_found() -> None:
    """Guards against 404 for calls whose route could not be understood."""
    state = _state()
    unusable = routing.UnusableRoute(
        name="u", host="h.example", path_prefix="/a/u/"
    )
    table = dataclasses.replace(
        _table(1, _route()), unusable_routes=(unusable,)
    )
    state.apply(table)
    assert state.find(host="h.example", path="/a/u/x") is unusable
    assert state.find(host="h.example", path="/a/x").name == "r"
    assert state.find(host="h.example", path="/b/x") is None
    anywhere = dataclasses.replace(unusable, path_prefix=None)
    state.apply(
        dataclasses.replace(table, version=2, unusable_routes=(anywhere,))
    )
    assert state.find(host="h.example", path="/a/x").name == "r"
    assert state.find(host="h.example", path="/b/x") is anywhere
    assert state.find(host="x.example", path="/b/x") is None
    no_host = dataclasses.replace(unusable, host=None, path_prefix=None)
    state.apply(
        dataclasses.replace(table, version=3, unusable_routes=(no_host,))
    )
    assert state.find(host="x.example", path="/b/x") is no_host
    state.apply(_table(4, _route()))
    assert state.find(host="x.example", path="/b/x") is None


@pytest.mark.parametrize(
    "host", ["[::1]", "[::1]:8080", "[::1]:80", "[FE80::1]"]
)
def test_ipv6_host_with_and_without_a_port(host: str) -> None:
    """Guards against an IPv6 address cut at its first colon."""
    state = _state()
    name = host.lower().partition("]")[0] + "]"
    state.apply(_table(1, _route(host=name)))
    assert state.find(host=host, path="/a/x") is not None


def test_other_host_has_no_route() -> None:
    """Guards against routes that apply to other hosts."""
    state = _state()
    state.apply(_table(1, _route()))
    assert state.find(host="x.example", path="/a/") is None


@hypothesis.given(
    weights=st.lists(st.integers(1, 100), min_size=2, max_size=4),
    seed=st.integers(0, 1000),
)
def test_shares_follow_the_weights(weights: list[int], seed: int) -> None:
    """Guards against a service whose share differs from its weight."""
    state = _state(seed)
    route = _route(weights=tuple(map(float, weights)))
    state.apply(_table(1, route))
    total = sum(weights)
    counts = collections.Counter(
        state.choose_service(route) for _ in range(total)
    )
    for index, weight in enumerate(weights):
        assert abs(counts[f"s{index}"] - weight) <= len(weights)


def test_nodes_start_with_different_services() -> None:
    """Guards against nodes with few calls that all choose the same service."""
    firsts = set()
    for seed in range(40):
        state = _state(seed)
        route = _route(weights=(50.0, 50.0))
        state.apply(_table(1, route))
        firsts.add(state.choose_service(route))
    assert firsts == {"s0", "s1"}
