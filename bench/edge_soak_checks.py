"""What the edge's soak test checks, from what callers and workers see."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Any

from bench import edge_fleet
from tanagerspoke.platform import headers
from tanagerspoke.standins import routed_worker

# Statuses that promise that a request has not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# A node counts as undisturbed this long after its process was started.
_STABLE_S = 3.0
# A request that was sent this long after one that saw a version must not be
# handled by an older one.
_ROLLBACK_SLACK_S = 0.25
# A call that has used this share of its time may end with its deadline.
_ANSWER_TIME_SHARE = 0.7


@dataclasses.dataclass(kw_only=True)
class Sent:
    """A request and what came of it; times are monotonic seconds."""

    request_id: str
    node: str
    method: str
    path: str
    body: bytes
    deadline_ms: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    left: bool = False

    @property
    def is_write(self) -> bool:
        """Whether it may run once at most."""
        return self.method == "POST"


class Checks:
    """Collects violations of the promises."""

    def __init__(
        self, *, planned_only: bool, changed_at: Mapping[str, float]
    ) -> None:
        """Creates the checks of one run.

        Args:
            planned_only: whether nothing excuses a lost call.
            changed_at: when each process was last started or killed.
        """
        self.violations: list[str] = []
        self._planned_only = planned_only
        self._changed_at = changed_at
        self._sent: dict[str, Sent] = {}
        self._confirmed: dict[int, float] = {}
        # Newest version that each process served, and when that was known.
        self._seen: dict[tuple[str, float], tuple[int, float]] = {}

    def violate(self, line: str) -> None:
        """Notes a broken promise."""
        self.violations.append(line)

    def sent(self, sent: Sent) -> None:
        """Takes a request before it is sent."""
        self._sent[sent.request_id] = sent

    def confirmed(self, version: int, at: float) -> None:
        """Takes a version that the store has confirmed."""
        self._confirmed[version] = at

    def answered(
        self, sent: Sent, found: Mapping[str, str], body: bytes
    ) -> None:
        """Checks that an answer is whole and the request's own."""
        where = f"{sent.request_id} {sent.path} at {sent.node}"
        if found.get(headers.REQUEST_ID) != sent.request_id:
            self.violate(f"MIXED: {where}: the answer of another request")
        signature = found.get(headers.SIGNATURE)
        if sent.status == 200:
            expected = routed_worker.signature(
                request_id=sent.request_id, body=body
            )
            if signature != expected:
                self.violate(f"MIXED: {where}: not the worker's whole body")
        elif signature is not None:
            self.violate(f"MIXED: {where}: {sent.status} bears a signature")
        if sent.status in (400, 401, 403, 413, 431):
            self.violate(f"DENIED: {where}: {sent.status}")

    def saw_version(self, sent: Sent, version: int) -> None:
        """Checks a request to a route that only one version has."""
        started_at = self._changed_at[sent.node]
        if started_at > sent.sent_at:
            return
        process = (sent.node, started_at)
        newest, seen_at = self._seen.get(process, (0, 0.0))
        older = version < newest
        if sent.status == 200 and version > newest:
            self._seen[process] = (version, sent.ended_at)
        if (
            sent.status == 200
            and older
            and sent.sent_at > seen_at + _ROLLBACK_SLACK_S
        ):
            self.violate(
                f"CONFIG: {sent.node} went back from {newest} to {version}"
            )
        self._check_in_force(sent, version, started_at)

    def _check_in_force(
        self, sent: Sent, version: int, started_at: float
    ) -> None:
        if not self._planned_only or sent.status not in (200, 404):
            return
        in_force_at = self._confirmed[version] + edge_fleet.CONFIG_APPLY_S
        replaced_at = self._confirmed.get(version + 1)
        steady = sent.sent_at > max(in_force_at, started_at + _STABLE_S)
        if sent.status == 404:
            if steady and replaced_at is None:
                self.violate(f"CONFIG: {sent.node} lacks version {version}")
        elif (
            replaced_at is not None
            and sent.sent_at > replaced_at + edge_fleet.CONFIG_APPLY_S
            and sent.sent_at > started_at + _STABLE_S
        ):
            self.violate(f"CONFIG: {sent.node} keeps version {version}")

    def judge_runs(self, notes: list[dict[str, Any]]) -> None:
        """Checks what the workers ran, once all processes are quiet."""
        runs = [note for note in notes if note["event"] == "run"]
        counts = collections.Counter(note["id"] for note in runs)
        for note in runs:
            self._check_run(note)
        for sent in self._sent.values():
            ran = counts[sent.request_id]
            if sent.is_write and ran > 1:
                self.violate(f"TWICE: {sent.request_id} ran {ran} times")
            if sent.is_write and ran and sent.status in _NOT_RUN_STATUSES:
                self.violate(
                    f"REFUSED: {sent.request_id} ran and got {sent.status}"
                )
            if self._planned_only and ran:
                self._check_kept(sent)
        if self._planned_only:
            self._check_drains(notes)

    def _check_run(self, note: dict[str, Any]) -> None:
        sent = self._sent.get(note["id"])
        if sent is None:
            self.violate(f"UNASKED: {note['id']} was never sent")
            return
        found = (note["method"], note["path"], note["body"])
        if found != (
            sent.method,
            sent.path,
            routed_worker.digest(sent.body),
        ):
            self.violate(f"UNASKED: {note['id']} was changed to {found}")

    def _check_kept(self, sent: Sent) -> None:
        """A request that ran, without unplanned faults, gets its answer."""
        if sent.status is not None or sent.left:
            return
        used_s = sent.ended_at - sent.sent_at
        if used_s < _ANSWER_TIME_SHARE * sent.deadline_ms / 1000:
            self.violate(
                f"LOST: {sent.request_id} at {sent.node} ran and ended "
                f"without an answer after {used_s:.3f} s"
            )

    def _check_drains(self, notes: list[dict[str, Any]]) -> None:
        leaving = {
            (note["worker"], note["born_ms"]): note["at"]
            for note in notes
            if note["event"] == "leaving"
        }
        for note in notes:
            left_at = leaving.get((note["worker"], note["born_ms"]))
            if note["event"] != "run" or left_at is None:
                continue
            late_s = note["arrived_at"] - left_at - edge_fleet.DRAIN_S
            if late_s > 0:
                self.violate(
                    f"DRAIN: {note['id']} reached {note['worker']} "
                    f"{late_s:.3f} s after its drain"
                )
