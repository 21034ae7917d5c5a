"""Counts the calls of the last seconds by client account and result."""

import collections
from collections.abc import Mapping

from tanagerspoke.protocol import errors

# Two windows of the usage limit, so that a refusal is still counted when an
# operator asks a few seconds later.
WINDOW_S = 10
ADMITTED = "admitted"


def result_of(code: str, *, rejection: str, dispatched: bool) -> str:
    """Returns `ADMITTED` or the reason of a refusal.

    Args:
        code: code of the ended call.
        rejection: why it was rejected for its key, empty if it was not.
        dispatched: whether it was admitted before its caller left.
    """
    try:
        outcome = errors.outcome_of(errors.ErrorCode(code))
    except ValueError:
        # Answered calls, and callers that left.
        refused = code != "ok" and not dispatched
        return code if refused else ADMITTED
    if outcome is not errors.Outcome.NOT_RUN:
        return ADMITTED
    return f"{code}/{rejection}" if rejection else code


class RecentCalls:
    """Counts in one-second steps; memory depends on the accounts only.

    Callers choose neither the names of accounts nor the results.
    """

    def __init__(self) -> None:
        """Creates a state without calls."""
        self._steps: collections.deque[
            tuple[int, collections.Counter[tuple[str, str]]]
        ] = collections.deque(maxlen=WINDOW_S)

    def count(self, account: str, result: str, now: float) -> None:
        """Counts an ended call; `account` is empty if it is not known."""
        step = int(now)
        if not self._steps or self._steps[-1][0] != step:
            self._steps.append((step, collections.Counter()))
        self._steps[-1][1][account, result] += 1

    def totals(self, now: float) -> Mapping[str, Mapping[str, int]]:
        """Returns the counts within the window by account and result."""
        totals: dict[str, collections.Counter[str]] = {}
        for step, counts in self._steps:
            if step <= int(now) - WINDOW_S:
                continue
            for (account, result), count in counts.items():
                totals.setdefault(account, collections.Counter())[result] += (
                    count
                )
        return totals
