"""Chooses the nodes that grant the tokens of each client account.

Source: rendezvous hashing (Thaler and Ravishankar, 1998). When the list
changes, only accounts whose owners were removed or that rank an added node
first or second get other owners.
"""

from collections.abc import Iterable, Iterator
import hashlib
import heapq

# The owner and the backup owner.
_OWNERS = 2


class Ownership:
    """The owner and the backup owner of each account with a limit."""

    def __init__(self) -> None:
        """Creates a state without nodes and accounts."""
        self._nodes: frozenset[str] = frozenset()
        # Owners with their weights by account, best first.
        self._ranked: dict[str, tuple[tuple[bytes, str], ...]] = {}

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Sets the names of the listed nodes.

        Only the added nodes are weighed, so that a change is cheap.
        """
        before, self._nodes = self._nodes, frozenset(nodes)
        added = self._nodes - before
        for account, ranked in self._ranked.items():
            kept = tuple(rank for rank in ranked if rank[1] in self._nodes)
            if len(kept) < len(ranked):
                self._ranked[account] = _best(account, self._nodes)
            else:
                self._ranked[account] = tuple(
                    heapq.nsmallest(_OWNERS, (*kept, *_weigh(account, added)))
                )

    def set_accounts(self, accounts: Iterable[str]) -> None:
        """Sets the names of the accounts that have a limit."""
        self._ranked = {
            account: self._ranked.get(account) or _best(account, self._nodes)
            for account in accounts
        }

    def owners(self, account: str) -> tuple[str, ...]:
        """Returns the owner and the backup owner of an account.

        The result is shorter if fewer nodes are listed, and empty if the
        account is unknown.
        """
        return tuple(name for _, name in self._ranked.get(account, ()))

    def accounts_of(self, node: str) -> Iterator[tuple[str, int]]:
        """Yields the accounts of a node with its rank: 0 for the owner."""
        for account, ranked in self._ranked.items():
            for rank, (_, name) in enumerate(ranked):
                if name == node:
                    yield account, rank


def _best(account: str, nodes: Iterable[str]) -> tuple[tuple[bytes, str], ...]:
    return tuple(heapq.nsmallest(_OWNERS, _weigh(account, nodes)))


def _weigh(account: str, nodes: Iterable[str]) -> Iterator[tuple[bytes, str]]:
    prefix = hashlib.blake2b(f"{account}\0".encode(), digest_size=8)
    for node in nodes:
        weight = prefix.copy()
        weight.update(node.encode("utf-8", "surrogatepass"))
        yield weight.digest(), node
