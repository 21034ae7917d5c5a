"""Label values of metrics by client account."""

from collections.abc import Iterable

# With more accounts, they are counted together, so that the number of label
# values is bounded.
_MAX_LABELED_ACCOUNTS = 100
_OTHER_ACCOUNTS = "other"


class AccountLabels:
    """Labels of the accounts in force; all others share one."""

    def __init__(self) -> None:
        """Creates an instance without accounts."""
        self._labeled: frozenset[str] = frozenset()

    def set_accounts(self, accounts: Iterable[str]) -> None:
        """Sets the names of the accounts."""
        labeled = frozenset(accounts)
        if len(labeled) > _MAX_LABELED_ACCOUNTS:
            labeled = frozenset()
        self._labeled = labeled

    def label(self, account: str) -> str:
        """Returns the label of an account."""
        return account if account in self._labeled else _OTHER_ACCOUNTS

    def is_in_use(self, label: str) -> bool:
        """Returns whether a label is one of those that `label` returns."""
        return label in self._labeled or label == _OTHER_ACCOUNTS
