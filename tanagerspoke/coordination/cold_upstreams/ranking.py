"""Ranks the nodes for an upstream.

Source: rendezvous hashing (Thaler and Ravishankar, 1998). When the list of
nodes changes, only the upstreams of the nodes that are added or removed change.
"""

from collections.abc import Iterable
import hashlib
import heapq


def first_nodes(
    *, nodes: Iterable[str], upstream_id: str, count: int
) -> frozenset[str]:
    """Returns the names of the first nodes in the ranking of an upstream.

    Args:
        nodes: names of all listed nodes.
        upstream_id: upstream whose ranking it is.
        count: number of nodes to return; fewer if there are fewer.
    """
    return frozenset(
        heapq.nsmallest(
            count, nodes, key=lambda node: (_weight(node, upstream_id), node)
        )
    )


def _weight(node: str, upstream_id: str) -> bytes:
    text = f"{node}\0{upstream_id}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=8, person=b"cold").digest()
