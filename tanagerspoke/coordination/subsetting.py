"""Chooses the upstreams of a service that a node prefers.

In a large fleet, a node sends few calls to each of many upstreams: it would
open a connection for nearly every call and learn little about any upstream.
With a small, stable subset it reuses connections and knows their speed.

Source: rendezvous hashing (Thaler and Ravishankar, 1998). When the list
changes, only the upstreams that are added or removed change in a subset.
"""

from collections.abc import Iterable
import hashlib

from tanagerspoke.protocol import upstreams


def preferred_ids(
    *,
    node: str,
    availability_zone: str,
    listed: Iterable[upstreams.Upstream],
    size: int,
) -> frozenset[str]:
    """Returns the ids of the upstreams that a node prefers.

    Args:
        node: name of the node; other nodes prefer other upstreams.
        availability_zone: zone of the node, whose upstreams go first.
        listed: upstreams of one service that may get calls.
        size: number of upstreams to choose.
    """
    ranked = sorted(
        listed,
        key=lambda u: (
            u.availability_zone != availability_zone,
            _weight(node, u.upstream_id),
        ),
    )
    return frozenset(u.upstream_id for u in ranked[:size])


def position(node: str, upstream_id: str) -> float:
    """Returns a node's position in an upstream's order of nodes.

    Positions are spread evenly over 0 to 1, so that a share of the nodes is
    below each value, whichever nodes there are.
    """
    weight = _weight(node, upstream_id)
    return int.from_bytes(weight) / 256 ** len(weight)


def _weight(node: str, upstream_id: str) -> bytes:
    text = f"{node}\0{upstream_id}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=8).digest()
