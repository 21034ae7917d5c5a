"""Time up to which a node's configuration is known to be the newest.

A node that cannot reach the store does not learn that a key was removed. It
may therefore accept keys only for a limited time after a proof that its
configuration was the newest.

All times are in seconds of a clock that also counts while the machine is
suspended; otherwise a proof would not age during a suspension.
"""

# Longest time from the check of a call to its arrival at the upstream. Proofs
# expire this long before the bound, so that a call that just passed the check
# still arrives within it.
_ARRIVAL_MARGIN_S = 0.4


class ConfigFreshness:
    """The newest freshness proof of a node.

    The proof time is a moment at which the node's version, or an older one,
    was the newest of the store. A newer version keeps the proofs of the ones
    before it, so the proof time never decreases.
    """

    def __init__(self, *, bound_s: float | None) -> None:
        """Creates an instance without a version and without a proof.

        Args:
            bound_s: see `set_bound`.
        """
        self._bound_s = bound_s
        self._version: int | None = None
        self._proven_at: float | None = None

    @property
    def bound_s(self) -> float | None:
        """Maximum time for which a removed key is accepted, or None."""
        return self._bound_s

    @property
    def version(self) -> int | None:
        """Version in force, None before the first."""
        return self._version

    @property
    def proven_at(self) -> float | None:
        """Time of the newest proof, None if there is none."""
        return self._proven_at

    def set_bound(self, bound_s: float | None) -> None:
        """Sets the time after which a removed key must not run any call.

        None means that there is no such time, so no proof is needed.
        """
        self._bound_s = bound_s

    def set_version(self, version: int) -> None:
        """Sets the version in force; versions only increase."""
        if self._version is None or version > self._version:
            self._version = version

    def record_proof(self, *, version: int, proven_at: float) -> bool:
        """Records that a version was the newest at a moment.

        A proof of a newer version than the one in force does not count: the
        version in force was replaced before, at an unknown time.

        Args:
            version: version that was the newest.
            proven_at: for an answer of the store, the time at which the
                request was sent, since the answer may have taken long.

        Returns:
            Whether the proof counts.
        """
        if self._version is None or version > self._version:
            return False
        if self._proven_at is None or proven_at > self._proven_at:
            self._proven_at = proven_at
        return True

    def record_reply(
        self, *, version: int | None, age_s: float | None, sent_at: float
    ) -> bool:
        """Records the reply of another node; returns whether it proves any.

        Args:
            version: version in force at the other node.
            age_s: age of the other node's proof when it replied.
            sent_at: time at which the query was sent. The other node replied
                later, so its proof is at least as recent as assumed here.
        """
        if version is None or age_s is None:
            return False
        return self.record_proof(version=version, proven_at=sent_at - age_s)

    def age_s(self, now: float) -> float | None:
        """Returns the age of the newest proof, None if there is none."""
        return None if self._proven_at is None else now - self._proven_at

    @property
    def max_age_s(self) -> float | None:
        """Age of a proof from which it has expired; None if none is needed."""
        if self._bound_s is None:
            return None
        return self._bound_s - _ARRIVAL_MARGIN_S

    def is_confirmed(self, now: float) -> bool:
        """Returns whether calls with a key may run now."""
        max_age_s = self.max_age_s
        if max_age_s is None:
            return True
        age_s = self.age_s(now)
        return age_s is not None and age_s < max_age_s
