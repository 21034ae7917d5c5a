"""Records for operators which owners answered their last requests."""

from collections.abc import Iterable

from tanagerspoke.protocol import edge_status

# Time in which an owner that responds has answered: an answer takes about 1 ms,
# and its loss is noticed after 30 ms.
_ANSWER_TIME_S = 0.06


class OwnerAnswers:
    """Times of requests and answers by node.

    Unlike `Silence`, it has no influence on which node is asked.
    """

    def __init__(self) -> None:
        """Creates a state without requests."""
        self._answered_at: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}

    def record_request(self, node: str, now: float) -> None:
        """Records that a node was asked."""
        self._unanswered_since.setdefault(node, now)

    def record_answer(self, node: str, now: float) -> None:
        """Records an answer of a node, also a late one."""
        self._answered_at[node] = now
        self._unanswered_since.pop(node, None)

    def keep_only(self, nodes: Iterable[str]) -> None:
        """Forgets nodes that are no longer listed."""
        kept = frozenset(nodes)
        for times in (self._answered_at, self._unanswered_since):
            for node in times.keys() - kept:
                del times[node]

    def status(self, node: str, now: float) -> edge_status.OwnerStatus:
        """Returns what is known of another node."""
        answered_at = self._answered_at.get(node)
        asked_at = self._unanswered_since.get(node)
        unanswered_s = None if asked_at is None else now - asked_at
        responds = None if answered_at is None else True
        if unanswered_s is not None and unanswered_s > _ANSWER_TIME_S:
            responds = False
        return edge_status.OwnerStatus(
            node=node,
            responds=responds,
            last_answer_age_s=(
                None if answered_at is None else now - answered_at
            ),
            unanswered_s=unanswered_s,
        )
