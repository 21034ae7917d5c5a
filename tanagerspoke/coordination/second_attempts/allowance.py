"""Allowance of second attempts, as a share of the calls that may be repeated.

The share holds for all nodes together without messages between them. Each node
earns the share with each of its own calls and spends 1 for each second
attempt. It starts with nothing, so the second attempts of a node are at most
the share of its calls since its start, and so are those of all nodes. What is
not spent is carried over up to `MAX_CARRY_ATTEMPTS`, which lets a node with
few calls save for a whole second attempt. In any interval, all nodes together
send at most `share * calls + nodes * MAX_CARRY_ATTEMPTS` second attempts.
"""

# Unspent second attempts that a node keeps. With 1, a node loses part of its
# share between slow spells of upstreams: 99.9 % of the calls took up to 868 ms,
# with 4 and 16 up to 770 ms (docs/design/second-attempts.md).
MAX_CARRY_ATTEMPTS = 4.0
# Weight of one call in the moving share of calls that had to wait.
_WAIT_WEIGHT = 0.05
# Share of waiting calls from which the node counts as overloaded: it then
# neither earns nor spends.
_OVERLOAD_WAIT_SHARE = 0.5


class Allowance:
    """Second attempts that one node may send to one service."""

    def __init__(self, *, share: float) -> None:
        """Creates an empty allowance.

        Args:
            share: second attempts per call, 0 to 1.
        """
        self._share = share
        self._attempts = 0.0
        self._wait_share = 0.0

    @property
    def share(self) -> float:
        """Second attempts per call, 0 to 1."""
        return self._share

    @property
    def remaining(self) -> float:
        """Second attempts that may be sent now; negative after retries."""
        return self._attempts if self._load_factor else 0.0

    def set_share(self, share: float) -> None:
        """Sets the share; what was earned with the previous one is kept."""
        self._share = share
        if not share:
            self._attempts = min(0.0, self._attempts)

    def record_call(self, *, repeatable: bool, waited: bool) -> None:
        """Records a call's first attempt, or its refusal after a wait.

        Args:
            repeatable: whether the call was sent and may be repeated.
            waited: whether it had to wait for an upstream.
        """
        self._wait_share += _WAIT_WEIGHT * (waited - self._wait_share)
        if repeatable:
            self._attempts = min(
                MAX_CARRY_ATTEMPTS,
                self._attempts + self._share * self._load_factor,
            )

    def record_retry(self) -> None:
        """Charges a retry, which is never refused for lack of allowance.

        The debt is bounded, so that second attempts are possible again soon
        after a time with many failures.
        """
        self._attempts = max(-MAX_CARRY_ATTEMPTS, self._attempts - 1.0)

    def spend(self) -> bool:
        """Charges a second attempt; returns False if none is allowed."""
        if self.remaining < 1.0:
            return False
        self._attempts -= 1.0
        return True

    @property
    def _load_factor(self) -> float:
        """Factor of the share: 1 without waiting calls, 0 under overload."""
        return max(0.0, 1.0 - self._wait_share / _OVERLOAD_WAIT_SHARE)
