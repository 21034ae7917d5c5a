"""Conversion of manifests, worker and node entries to the product's types."""

import collections
import dataclasses
import ipaddress
from typing import TypeVar

import msgspec

from tanagerspoke import exceptions
from tanagerspoke.platform import wire
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import listing
from tanagerspoke.protocol import ranges
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import upstreams
from tanagerspoke.protocol import zone_feed

T = TypeVar("T")

# A request of a route of any other kind may run once at most: a manifest may
# be newer than this program, and only a duplicate run does lasting harm.
_IDEMPOTENT_BY_KIND = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "upload": False,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MAX_PORT = 65_535
# Problems of one manifest that are reported, and the length of each. They are
# logged and sent to the other nodes.
_MAX_PROBLEMS = 32
_MAX_PROBLEM_LENGTH = 300

_manifest_decoder = msgspec.json.Decoder(wire.Manifest)
_route_decoder = msgspec.json.Decoder(wire.Route)
_route_host_decoder = msgspec.json.Decoder(wire.RouteHost)
_route_prefix_decoder = msgspec.json.Decoder(wire.RoutePrefix)
_tenant_decoder = msgspec.json.Decoder(wire.Tenant)
_service_decoder = msgspec.json.Decoder(wire.Service)
_limits_decoder = msgspec.json.Decoder(wire.Limits)
_node_decoder = msgspec.json.Decoder(wire.NodeEntry)
_worker_decoder = msgspec.json.Decoder(wire.WorkerEntry)
_cold_seconds_decoder = msgspec.json.Decoder(ranges.ColdSeconds)


def _decode(decoder: msgspec.json.Decoder[T], value: bytes) -> T:
    """Decodes a document or a part of one.

    Raises:
        ProtocolError: the bytes are not valid, nested too deeply, or hold a
            value outside its range.
    """
    try:
        return decoder.decode(value)
    # `RecursionError`: the decoder's limit on nesting, also in unknown fields.
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise exceptions.ProtocolError(str(exc)[:_MAX_PROBLEM_LENGTH]) from exc


def decode_endpoint(value: str) -> tuple[str, int]:
    """Returns the IPv4 address and the port of an `address:port` text.

    Raises:
        ProtocolError: the address is not a unicast IPv4 address, or the port
            not a decimal number from 1 to 65,535.
    """
    address, _, port = value.rpartition(":")
    try:
        parsed = ipaddress.IPv4Address(address)
    except ValueError as exc:
        raise exceptions.ProtocolError(
            f"{value!r} has no valid IP address"
        ) from exc
    if parsed.is_unspecified or parsed.is_multicast:
        raise exceptions.ProtocolError(f"{value!r} is not a unicast address")
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise exceptions.ProtocolError(f"{value!r} has no valid port")
    return address, int(port)


class _Problems:
    """Collects the problems of a manifest, bounded in number and length."""

    def __init__(self) -> None:
        self._problems: list[routing.ConfigProblem] = []

    def add(self, part: routing.ConfigPart, name: str, problem: object) -> None:
        """Adds a problem of a route, a service or the limits."""
        if len(self._problems) < _MAX_PROBLEMS:
            self._problems.append(
                routing.ConfigProblem(
                    part=part,
                    name=name[:_MAX_PROBLEM_LENGTH],
                    problem=str(problem)[:_MAX_PROBLEM_LENGTH],
                )
            )

    @property
    def found(self) -> tuple[routing.ConfigProblem, ...]:
        """The problems that were added."""
        return tuple(self._problems)


def decode_manifest(value: bytes) -> routing.RoutingTable:
    """Returns the routing table of a manifest.

    A part that is unusable does not affect the others: such a route becomes an
    `UnusableRoute`, a service gets the default health path, and limits are
    left out.

    Raises:
        ProtocolError: the bytes are not a manifest.
    """
    try:
        decoded = _decode(_manifest_decoder, value)
    except exceptions.ProtocolError as exc:
        raise exceptions.ProtocolError(f"malformed manifest: {exc}") from exc
    problems = _Problems()
    routes: list[routing.Route] = []
    unusable_routes: list[routing.UnusableRoute] = []
    for name, encoded in decoded.routes.items():
        try:
            routes.append(_route(name, encoded, problems))
        except exceptions.ProtocolError as exc:
            problems.add(routing.ConfigPart.ROUTE, name, exc)
            unusable_routes.append(_unusable_route(name, encoded))
    accounts = _accounts(decoded.tenants, problems)
    return routing.RoutingTable(
        version=int(decoded.version, 16),
        routes=tuple(routes),
        services={
            name: _service(name, encoded, problems)
            for name, encoded in decoded.services.items()
        },
        limits=_limits(decoded.limits, problems),
        unusable_routes=tuple(unusable_routes),
        problems=problems.found,
        accounts=accounts,
    )


def _accounts(
    encoded: dict[str, msgspec.Raw] | None, problems: _Problems
) -> dict[str, routing.Account] | None:
    """Returns the usable client accounts, None if the manifest has none.

    A key of two accounts identifies neither, so it is valid for none of them.
    """
    if encoded is None:
        return None
    accounts: dict[str, routing.Account] = {}
    for name, value in encoded.items():
        try:
            accounts[name] = _account(name, value)
        except exceptions.ProtocolError as exc:
            problems.add(routing.ConfigPart.ACCOUNT, name, exc)
    holders = collections.Counter(
        key_digest
        for account in accounts.values()
        for key_digest in account.key_digests
    )
    for name, account in accounts.items():
        valid = tuple(d for d in account.key_digests if holders[d] == 1)
        if len(valid) == len(account.key_digests):
            continue
        problems.add(
            routing.ConfigPart.ACCOUNT,
            name,
            "a key is also a key of another account; it is valid for none",
        )
        accounts[name] = dataclasses.replace(account, key_digests=valid)
    return accounts


def _account(name: str, encoded: msgspec.Raw) -> routing.Account:
    """Returns a usable client account.

    Raises:
        ProtocolError: the account is unusable.
    """
    try:
        # It becomes a header value and a log field.
        msgspec.convert(name, ranges.Name)
    except msgspec.ValidationError as exc:
        raise exceptions.ProtocolError(f"invalid name: {exc}") from exc
    tenant = _decode(_tenant_decoder, encoded)
    # A key may be listed twice by its own account.
    digests = dict.fromkeys(key_digests.digest(key) for key in tenant.api_keys)
    return routing.Account(
        name=name,
        key_digests=tuple(digests),
        priority=tenant.priority,
        calls_per_s=tenant.rate_per_s or 0.0,
        burst_calls=tenant.burst or 0.0,
    )


def _service(
    name: str, encoded: msgspec.Raw, problems: _Problems
) -> routing.Service:
    try:
        service = _decode(_service_decoder, encoded)
    except exceptions.ProtocolError as exc:
        problems.add(routing.ConfigPart.SERVICE, name, exc)
        service = wire.Service()
    return routing.Service(
        name=name,
        health_path=service.health_path,
        cold_start_s=service.cold_start_s,
        cold_calls_per_s=service.cold_per_s,
    )


def _limits(
    encoded: msgspec.Raw, problems: _Problems
) -> routing.CallerLimits | None:
    try:
        limits = _decode(_limits_decoder, encoded)
    except exceptions.ProtocolError as exc:
        problems.add(routing.ConfigPart.LIMITS, "", exc)
        return None
    return routing.CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


def _route(
    name: str, encoded: msgspec.Raw, problems: _Problems
) -> routing.Route:
    """Returns a usable route.

    Raises:
        ProtocolError: the route is unusable.
    """
    route = _decode(_route_decoder, encoded)
    if route.kind not in _IDEMPOTENT_BY_KIND:
        problems.add(
            routing.ConfigPart.ROUTE,
            name,
            f"unknown kind {route.kind!r}; its requests run once at most",
        )
    return routing.Route(
        name=name,
        host=route.host.lower(),
        path_prefix=route.prefix,
        idempotent=_IDEMPOTENT_BY_KIND.get(route.kind, False),
        timeout_s=route.timeout_s,
        target_latency_s=route.target_latency_s,
        max_attempts=route.max_attempts,
        priority=route.priority,
        services=_weighted_services(route),
        public=route.public,
    )


def _weighted_services(
    route: wire.Route,
) -> tuple[routing.WeightedService, ...]:
    """Returns the services of a route that get a share of its requests.

    Raises:
        ProtocolError: no service gets any.
    """
    if not route.traffic_split:
        if route.service is None:
            raise exceptions.ProtocolError("the route has no service")
        return (routing.WeightedService(service=route.service),)
    services = tuple(
        routing.WeightedService(service=part.service, weight=part.weight)
        for part in route.traffic_split
        if part.weight > 0
    )
    if not services:
        raise exceptions.ProtocolError("all weights of the split are 0")
    return services


def _unusable_route(name: str, encoded: msgspec.Raw) -> routing.UnusableRoute:
    """Returns what is known of the requests of an unusable route."""
    host = path_prefix = None
    try:
        host = _decode(_route_host_decoder, encoded).host.lower()
        path_prefix = _decode(_route_prefix_decoder, encoded).prefix
    except exceptions.ProtocolError:
        # The problem of the whole route is reported already.
        pass
    return routing.UnusableRoute(name=name, host=host, path_prefix=path_prefix)


def decode_worker(
    *, worker_id: str, value: bytes, services: frozenset[str] | None
) -> listing.ListedUpstream:
    """Returns the upstream that a worker's entry describes.

    Args:
        worker_id: key of the row.
        value: value of the row.
        services: names of the existing services, or None if they are not known
            yet.

    Raises:
        ProtocolError: the entry is malformed or its service does not exist.
    """
    try:
        # The same range as in the messages of the zone feed.
        msgspec.convert(worker_id, ranges.Name)
    except msgspec.ValidationError as exc:
        raise exceptions.ProtocolError(f"invalid id: {exc}") from exc
    entry = _decode(_worker_decoder, value)
    leaving = _LEAVING_BY_STATE.get(entry.state)
    if leaving is None:
        raise exceptions.ProtocolError(f"unknown state {entry.state[:40]!r}")
    if services is not None and entry.service not in services:
        raise exceptions.ProtocolError(f"unknown service {entry.service!r}")
    address, port = decode_endpoint(entry.address)
    return listing.ListedUpstream(
        upstream=upstreams.Upstream(
            upstream_id=worker_id,
            service=entry.service,
            address=address,
            port=port,
            availability_zone=entry.zone,
            slots=entry.slots,
            leaving=leaving,
            started_ms=entry.born,
        ),
        sequence=entry.seq_no,
        remaining_cold_s=_cold_left_s(entry.cold_left_s),
    )


def _cold_left_s(encoded: msgspec.Raw) -> float:
    """Returns the rest of a cold period; 0 if the value is invalid."""
    try:
        return _decode(_cold_seconds_decoder, encoded)
    except exceptions.ProtocolError:
        return 0.0


def encode_node(node: zone_feed.Node) -> wire.NodeEntry:
    """Returns the store entry of an edge node."""
    return wire.NodeEntry(
        zone=node.availability_zone,
        address=f"{node.address}:{node.port}",
        link_mbps=node.link_mbps,
    )


def decode_node(*, name: str, value: bytes) -> zone_feed.Node:
    """Returns the edge node that an entry describes.

    Raises:
        ProtocolError: the entry is malformed.
    """
    entry = _decode(_node_decoder, value)
    address, port = decode_endpoint(entry.address)
    return zone_feed.Node(
        name=name,
        availability_zone=entry.zone,
        address=address,
        port=port,
        link_mbps=entry.link_mbps,
    )
