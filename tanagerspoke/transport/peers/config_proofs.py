"""The freshness proofs of this node: clock, messages and log lines."""

from collections.abc import Callable
import logging

from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.protocol import freshness as freshness_messages

log = logging.getLogger(__name__)

# Source of the proofs that answers of the store hold.
STORE = "store"


class ConfigProofs:
    """Collects the proofs that answers of the store and other nodes hold.

    A message that was pushed to this node proves nothing, because it may have
    been on its way for any time.

    Attributes:
        freshness: the newest proof, on the clock `now_s`.
    """

    def __init__(
        self, *, bound_s: float | None, clock: Callable[[], float]
    ) -> None:
        """Creates an instance without proofs.

        Args:
            bound_s: see `ConfigFreshness.set_bound`.
            clock: returns seconds of a clock that does not stop.
        """
        self.freshness = freshness.ConfigFreshness(bound_s=bound_s)
        self.now_s = clock
        self._was_confirmed = True
        self._source: str | None = None

    @property
    def source(self) -> str | None:
        """`store` or the node that gave the newest proof, None without one."""
        return self._source

    @property
    def age_s(self) -> float | None:
        """Age of the newest proof in seconds, None if there is none."""
        return self.freshness.age_s(self.now_s())

    @property
    def reply(self) -> freshness_messages.FreshnessReply:
        """What this node replies to a query."""
        return freshness_messages.FreshnessReply(
            version=self.freshness.version, age_s=self.age_s
        )

    def record_answer(self, *, version: int, sent_at: float) -> None:
        """Records an answer of the store.

        Args:
            version: version that the answer proved to be the newest.
            sent_at: time at which the request was sent.
        """
        before = self.freshness.proven_at
        self.freshness.record_proof(version=version, proven_at=sent_at)
        self._set_source(STORE, before)
        self.log_changes()

    def record_reply(
        self,
        reply: freshness_messages.FreshnessReply,
        *,
        sent_at: float,
        source: str,
    ) -> bool:
        """Records the reply of another node; returns whether it counts.

        Args:
            reply: the reply.
            sent_at: time at which the query was sent.
            source: name or address of the other node.
        """
        before = self.freshness.proven_at
        counts = self.freshness.record_reply(
            version=reply.version, age_s=reply.age_s, sent_at=sent_at
        )
        self._set_source(source, before)
        self.log_changes()
        return counts

    def _set_source(self, source: str, proven_before: float | None) -> None:
        if self.freshness.proven_at != proven_before:
            self._source = source

    def log_changes(self) -> None:
        """Logs that calls with a key stop or start to run."""
        is_confirmed = self.freshness.is_confirmed(self.now_s())
        if is_confirmed == self._was_confirmed:
            return
        self._was_confirmed = is_confirmed
        age_s = self.age_s
        extra = {
            "version": self.freshness.version,
            "age_s": None if age_s is None else round(age_s, 3),
        }
        if is_confirmed:
            log.info("config_proof_regained", extra=extra)
        else:
            log.warning("config_proof_lost", extra=extra)
