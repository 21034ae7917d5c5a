"""Tokens that a node was granted and has not used."""

import collections


class HeldTokens:
    """Tokens of one account with the times at which they expire."""

    def __init__(self) -> None:
        """Creates a state without tokens."""
        self._groups: collections.deque[tuple[float, int]] = collections.deque()

    def add(self, count: int, *, expires_at: float) -> None:
        """Adds tokens; replies may arrive in another order than requests."""
        if count > 0:
            self._groups.append((expires_at, count))
            if len(self._groups) > 1 and self._groups[-2][0] > expires_at:
                self._groups = collections.deque(sorted(self._groups))

    def count(self, now: float) -> int:
        """Returns the number of tokens that may be used now."""
        return sum(
            count for expires_at, count in self._groups if expires_at > now
        )

    def take(self, now: float) -> bool:
        """Uses the token that expires first; returns False if there is none."""
        while self._groups and self._groups[0][0] <= now:
            self._groups.popleft()
        if not self._groups:
            return False
        expires_at, count = self._groups.popleft()
        if count > 1:
            self._groups.appendleft((expires_at, count - 1))
        return True
