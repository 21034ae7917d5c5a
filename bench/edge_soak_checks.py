"""Checks of the edge soak test on responses and on the workers' run logs."""

import collections
from collections.abc import Mapping
import dataclasses
import time
from typing import Any

from bench import edge_fleet
from bench import edge_soak_accounts
from tanagerspoke.platform import headers
from tanagerspoke.standins import routed_worker

# Statuses that guarantee that a request has not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# The configuration delay is not checked until this long after a node's process
# was started or killed.
_STARTUP_GRACE_S = 3.0
# A request that is sent this long after the first response of a version must
# not be served by an older version.
_ROLLBACK_TOLERANCE_S = 0.25
# A call without a response counts as lost if it ends before this share of its
# deadline; later, it may have ended because of the deadline.
_LOST_DEADLINE_SHARE = 0.7


@dataclasses.dataclass(kw_only=True)
class CallRecord:
    """A request and its result; times are monotonic seconds.

    Attributes:
        node: edge that the request is sent to.
        status: status of a complete response, otherwise None.
        disconnects_early: whether the caller disconnects early, unless it gets
            a response first.
        key: API key of the request, None if it has none.
    """

    request_id: str
    node: str
    method: str
    path: str
    body: bytes
    deadline_ms: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    disconnects_early: bool = False
    key: str | None = None

    @property
    def is_write(self) -> bool:
        """Whether the request may run at most once."""
        return self.method == "POST"

    @property
    def is_public(self) -> bool:
        """Whether the route needs no key."""
        return not self.path.startswith(tuple(edge_fleet.ROUTES))


class Checks:
    """Collects violations of the edge's guarantees.

    Attributes:
        violations: descriptions of the violations.
        calls: all calls by request id.
    """

    def __init__(
        self,
        *,
        planned_only: bool,
        process_changed_at: Mapping[str, float],
        accounts: edge_soak_accounts.Accounts | None = None,
    ) -> None:
        """Creates the checks of one run.

        Args:
            planned_only: whether only planned operations happen, during which
                no call may be lost.
            process_changed_at: monotonic time at which each process was last
                started or killed.
            accounts: client accounts, None if there are none.
        """
        self._accounts = accounts
        self.violations: list[str] = []
        self._planned_only = planned_only
        self._process_changed_at = process_changed_at
        self.calls: dict[str, CallRecord] = {}
        # By node and worker process: when a notice that the worker leaves was
        # first passed on.
        self._notices: dict[tuple[str, str], float] = {}
        self._confirmed_at: dict[int, float] = {}
        # By node and start of its process: newest version served, and when.
        self._newest_served: dict[tuple[str, float], tuple[int, float]] = {}

    def add_violation(self, description: str) -> None:
        """Adds the description of a violation."""
        self.violations.append(description)

    def add_call(self, call: CallRecord) -> None:
        """Adds a request before it is sent."""
        self.calls[call.request_id] = call

    def add_confirmed_version(self, version: int, at: float) -> None:
        """Adds a manifest version with the time of the store's confirmation."""
        self._confirmed_at[version] = at

    def check_response(
        self, call: CallRecord, response_headers: Mapping[str, str], body: bytes
    ) -> None:
        """Checks that a response is complete and belongs to its request."""
        context = f"{call.request_id} {call.path} at {call.node}"
        if response_headers.get(headers.REQUEST_ID) != call.request_id:
            self.add_violation(
                f"MIXED: {context}: the response belongs to another request"
            )
        signature = response_headers.get(headers.SIGNATURE)
        if call.status == 200:
            expected = routed_worker.signature(
                request_id=call.request_id, body=body
            )
            if signature != expected:
                self.add_violation(
                    f"MIXED: {context}: not the worker's complete body"
                )
        elif signature is not None:
            self.add_violation(
                f"MIXED: {context}: {call.status} has a signature"
            )
        if call.status in (400, 403, 413, 431):
            self.add_violation(f"DENIED: {context}: {call.status}")
        self.check_key_status(call)
        if headers.LEAVING in response_headers:
            process = response_headers[routed_worker.PROCESS_HEADER]
            self._notices.setdefault((call.node, process), time.monotonic())

    def check_key_status(self, call: CallRecord) -> None:
        """Checks that exactly the calls without a valid key get 401."""
        context = f"{call.request_id} {call.path} at {call.node}"
        if self._accounts is None or call.is_public:
            if call.status == 401:
                self.add_violation(f"DENIED: {context}: 401")
            return
        key = self._accounts.keys.get(call.key or "")
        if key is None:
            # 503: the node does not know whether the key is new.
            if call.status not in (401, 503):
                self.add_violation(f"UNKNOWN: {context}: {call.status}")
        elif call.status == 401 and self._must_be_accepted(call, key):
            self.add_violation(f"DENIED: {context}: 401")
        elif (
            call.status == 429
            and not self._accounts.limits[key.account][-1].calls_per_s
        ):
            self.add_violation(f"LIMIT: {context}: 429 without a limit")

    def _must_be_accepted(
        self, call: CallRecord, key: edge_soak_accounts.Key
    ) -> bool:
        """Returns whether no node may answer that the key is unknown.

        A node without a proof that its manifest was the newest one within
        `REVOKE_S` answers 503 instead.
        """
        known_by = key.added_at + edge_fleet.REVOKE_S
        if self._planned_only:
            known_by = max(
                key.added_at + edge_fleet.CONFIG_APPLY_S,
                self._process_changed_at[call.node] + _STARTUP_GRACE_S,
            )
        return call.sent_at > known_by and time.monotonic() < (
            key.removal_sent_at
        )

    def check_version(self, call: CallRecord, version: int) -> None:
        """Checks a finished call to a route that only one version has."""
        process_changed_at = self._process_changed_at[call.node]
        if process_changed_at > call.sent_at:
            return
        process = (call.node, process_changed_at)
        newest, newest_served_at = self._newest_served.get(process, (0, 0.0))
        is_older = version < newest
        if call.status == 200 and version > newest:
            self._newest_served[process] = (version, call.ended_at)
        if (
            call.status == 200
            and is_older
            and call.sent_at > newest_served_at + _ROLLBACK_TOLERANCE_S
        ):
            self.add_violation(
                f"CONFIG: {call.node} served version {version} after {newest}"
            )
        self._check_config_delay(call, version, process_changed_at)

    def _check_config_delay(
        self, call: CallRecord, version: int, process_changed_at: float
    ) -> None:
        if not self._planned_only or call.status not in (200, 404):
            return
        apply_deadline = self._confirmed_at[version] + edge_fleet.CONFIG_APPLY_S
        replaced_at = self._confirmed_at.get(version + 1)
        must_be_served = call.sent_at > max(
            apply_deadline, process_changed_at + _STARTUP_GRACE_S
        )
        if call.status == 404:
            if must_be_served and replaced_at is None:
                self.add_violation(
                    f"CONFIG: {call.node} does not serve version {version}"
                )
        elif (
            replaced_at is not None
            and call.sent_at > replaced_at + edge_fleet.CONFIG_APPLY_S
            and call.sent_at > process_changed_at + _STARTUP_GRACE_S
        ):
            self.add_violation(
                f"CONFIG: {call.node} still serves version {version}"
            )

    def check_runs(self, log_entries: list[dict[str, Any]]) -> None:
        """Checks the workers' run logs after load and faults have ended."""
        runs = [
            log_entry
            for log_entry in log_entries
            if log_entry["event"] == "run"
        ]
        counts = collections.Counter(log_entry["id"] for log_entry in runs)
        for log_entry in runs:
            self._check_run(log_entry)
            self._check_notice(log_entry)
        for call in self.calls.values():
            run_count = counts[call.request_id]
            if call.is_write and run_count > 1:
                self.add_violation(
                    f"TWICE: {call.request_id} ran {run_count} times"
                )
            if call.is_write and run_count and call.status in _NOT_RUN_STATUSES:
                self.add_violation(
                    f"REFUSED: {call.request_id} ran but got {call.status}"
                )
            if self._planned_only and run_count:
                self._check_not_lost(call)
        if self._planned_only:
            self._check_drains(log_entries)

    def _check_run(self, log_entry: dict[str, Any]) -> None:
        call = self.calls.get(log_entry["id"])
        if call is None:
            self.add_violation(f"UNASKED: {log_entry['id']} was never sent")
            return
        logged_request = (
            log_entry["method"],
            log_entry["path"],
            log_entry["body"],
        )
        if logged_request != (
            call.method,
            call.path,
            routed_worker.digest(call.body),
        ):
            self.add_violation(
                f"UNASKED: {log_entry['id']} was changed to {logged_request}"
            )

    def _check_notice(self, log_entry: dict[str, Any]) -> None:
        """Checks that a node that passed on a notice sends no more calls."""
        call = self.calls.get(log_entry["id"])
        if call is None:
            return
        process = f"{log_entry['worker']}/{log_entry['born_ms']}"
        noticed_at = self._notices.get((call.node, process), float("inf"))
        if (
            call.sent_at > noticed_at + edge_fleet.DRAIN_S
            and self._process_changed_at[call.node] < noticed_at
        ):
            self.add_violation(
                f"DRAIN: {call.request_id} reached {process} from {call.node} "
                f"{call.sent_at - noticed_at:.3f} s after its notice"
            )

    def _check_not_lost(self, call: CallRecord) -> None:
        """Checks that a call that ran did not end early without a response."""
        if call.status is not None or call.disconnects_early:
            return
        duration_s = call.ended_at - call.sent_at
        if duration_s < _LOST_DEADLINE_SHARE * call.deadline_ms / 1000:
            self.add_violation(
                f"LOST: {call.request_id} at {call.node} ran and ended "
                f"without a response after {duration_s:.3f} s"
            )

    def _check_drains(self, log_entries: list[dict[str, Any]]) -> None:
        drain_starts = {
            (log_entry["worker"], log_entry["born_ms"]): log_entry["at"]
            for log_entry in log_entries
            if log_entry["event"] == "leaving"
        }
        for log_entry in log_entries:
            drain_started_at = drain_starts.get(
                (log_entry["worker"], log_entry["born_ms"])
            )
            if log_entry["event"] != "run" or drain_started_at is None:
                continue
            late_s = (
                log_entry["arrived_at"] - drain_started_at - edge_fleet.DRAIN_S
            )
            if late_s > 0:
                self.add_violation(
                    f"DRAIN: {log_entry['id']} reached {log_entry['worker']} "
                    f"{late_s:.3f} s after its drain period"
                )
