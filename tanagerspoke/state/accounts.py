"""Client accounts of the newest routing table, by the digest of a key."""

from collections.abc import Mapping

from tanagerspoke.protocol import routing


class AccountIndex:
    """Finds the account of a key.

    Attributes:
        has_accounts: whether the deployment has accounts, so that calls of
            routes that are not public need a key.
    """

    def __init__(self) -> None:
        self.has_accounts = False
        self._by_digest: dict[str, routing.Account] = {}
        self._by_name: Mapping[str, routing.Account] = {}

    def apply(self, accounts: Mapping[str, routing.Account] | None) -> None:
        """Replaces all accounts by those of a newer routing table.

        A key of two accounts identifies neither.
        """
        self.has_accounts = accounts is not None
        by_digest: dict[str, routing.Account] = {}
        shared: set[str] = set()
        for account in (accounts or {}).values():
            for key_digest in account.key_digests:
                holder = by_digest.setdefault(key_digest, account)
                if holder is not account:
                    shared.add(key_digest)
        for key_digest in shared:
            del by_digest[key_digest]
        self._by_digest = by_digest
        self._by_name = accounts or {}

    def find_by_name(self, name: str) -> routing.Account | None:
        """Returns the account with a name, None if unknown."""
        return self._by_name.get(name)

    def valid_digest(self, account: routing.Account) -> str | None:
        """Returns the digest of a key that identifies an account, or None."""
        for key_digest in account.key_digests:
            if self._by_digest.get(key_digest) is account:
                return key_digest
        return None

    def find(self, key_digest: str) -> routing.Account | None:
        """Returns the account that a key belongs to, None if unknown."""
        return self._by_digest.get(key_digest)
