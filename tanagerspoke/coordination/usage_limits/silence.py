"""Remembers which owners recently did not answer.

A killed node stays listed for long. Without this, each call of its accounts
would wait for it before the backup owner is asked.
"""

# Time for which the backup owner is asked first.
_SUSPECT_S = 1.0
# Interval at which a suspected node is asked whether it answers again. Each
# check that is sent prolongs the suspicion, so that no call waits for it.
_CHECK_INTERVAL_S = 0.25


class Silence:
    """Nodes that do not answer, as a whole or for one account."""

    def __init__(self) -> None:
        """Creates a state without suspected nodes."""
        self._silent_until: dict[str, float] = {}
        self._check_at: dict[str, float] = {}
        # Nodes that answered that they do not own the account.
        self._not_owner_until: dict[tuple[str, str], float] = {}

    def suspect(self, node: str, now: float) -> bool:
        """Records that a node did not answer; returns whether this is news."""
        is_news = self._silent_until.get(node, now) <= now
        self._silent_until[node] = now + _SUSPECT_S
        self._check_at.setdefault(node, now + _CHECK_INTERVAL_S)
        return is_news

    def suspect_for_account(self, node: str, account: str, now: float) -> None:
        """Records that a node answered that it does not own an account."""
        self._not_owner_until[node, account] = now + _SUSPECT_S

    def confirm_owner(self, node: str, account: str) -> None:
        """Records that a node answered as an owner of an account."""
        self._not_owner_until.pop((node, account), None)

    def answered(self, node: str) -> bool:
        """Records an answer; returns whether the node was suspected."""
        self._check_at.pop(node, None)
        return self._silent_until.pop(node, None) is not None

    def is_suspected(self, node: str, account: str, now: float) -> bool:
        """Returns whether the account's other owner should be asked first."""
        return (
            self._silent_until.get(node, now) > now
            or self._not_owner_until.get((node, account), now) > now
        )

    def check_due(self, node: str, now: float) -> bool:
        """Returns whether to send a check now; then prolongs the suspicion."""
        if self._check_at.get(node, float("inf")) > now:
            return False
        self._check_at[node] = now + _CHECK_INTERVAL_S
        self._silent_until[node] = now + _SUSPECT_S
        return True

    def keep_only(
        self, nodes: frozenset[str], accounts: frozenset[str]
    ) -> None:
        """Forgets nodes and accounts that are no longer listed."""
        for state in (self._silent_until, self._check_at):
            for node in state.keys() - nodes:
                del state[node]
        self._not_owner_until = {
            (node, account): until
            for (node, account), until in self._not_owner_until.items()
            if node in nodes and account in accounts
        }
