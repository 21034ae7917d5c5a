"""Checks of the edge soak test on accounts, cold workers, zones and pauses.

The checks use the run logs and refusal logs of the workers only, with the
times at which the store confirmed what the edges have to follow.
"""

import collections
from collections.abc import Callable, Iterator, Mapping, Sequence
import dataclasses
import itertools
import math
from typing import Any, TypeAlias

from bench import edge_fleet
from bench import edge_soak_accounts
from bench import edge_soak_checks

LogEntry: TypeAlias = Mapping[str, Any]

_COLD_WINDOW_S = 1.0
_MAX_COLD_CALLS = (
    edge_fleet.COLD_CALLS_PER_S * edge_fleet.COLD_OVERAGE
    + edge_fleet.COLD_TOLERANCE
)
# A call that arrives this long after a request for a pause may have been in
# flight when the node received the request.
_MAX_IN_FLIGHT_S = 0.5
# After a stall or a freeze, the requests that were held up arrive within this
# time.
_RELEASE_S = 0.5


@dataclasses.dataclass(kw_only=True)
class Evacuation:
    """Evacuation of a zone; times are monotonic seconds.

    Attributes:
        confirmed_at: when the store confirmed the row.
        removal_sent_at: when the removal of the row was sent.
    """

    zone: str
    confirmed_at: float
    removal_sent_at: float = math.inf


@dataclasses.dataclass(kw_only=True)
class Delay:
    """Time in which a process is frozen or its link is disturbed.

    Attributes:
        holds_requests: whether requests to the process may be held up.
    """

    name: str
    holds_requests: bool
    started_at: float
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Arrival:
    """Request that reached a worker, whether the worker ran it or not.

    Attributes:
        sent_after: a time before which the request may have been sent; the
            time of arrival unless it may have been held up.
    """

    call: edge_soak_checks.CallRecord
    log_entry: LogEntry
    at: float
    sent_after: float

    @property
    def worker(self) -> str:
        """Name of the worker."""
        return self.log_entry["worker"]

    @property
    def process(self) -> str:
        """Name and start of the worker's process."""
        return f"{self.worker}/{self.log_entry['born_ms']}"

    @property
    def held_up(self) -> bool:
        """Whether the request may have been held up on its way."""
        return self.sent_after < self.at


class BoundChecks:
    """Checks the bounds of a run after load and faults have ended."""

    def __init__(
        self,
        *,
        accounts: edge_soak_accounts.Accounts,
        worker_zones: Mapping[str, str],
        evacuations: Sequence[Evacuation],
        delays: Sequence[Delay],
        process_changed_at: Mapping[str, float],
        planned_only: bool,
        add_violation: Callable[[str], None],
    ) -> None:
        """Creates the checks.

        Args:
            accounts: accounts with the history of their keys and limits.
            worker_zones: availability zone of each worker.
            evacuations: evacuations of zones.
            delays: freezes of edges and workers, and disturbed links to
                workers.
            process_changed_at: monotonic time at which each process was last
                started or killed.
            planned_only: whether each node could always read the store.
            add_violation: called with the description of each violation.
        """
        self._accounts = accounts
        self._worker_zones = worker_zones
        self._evacuations = evacuations
        self._delays = delays
        self._process_changed_at = process_changed_at
        self._planned_only = planned_only
        self._add_violation = add_violation

    def check(
        self,
        *,
        calls: Mapping[str, edge_soak_checks.CallRecord],
        runs: Sequence[LogEntry],
        refusals: Sequence[LogEntry],
    ) -> None:
        """Checks all requests that reached a worker.

        Args:
            calls: calls by request id; requests of others are left out.
            runs: entries of the run logs.
            refusals: entries of the refusal logs.
        """
        arrivals = sorted(
            (
                self._arrival(calls[log_entry["id"]], log_entry)
                for log_entry in (*runs, *refusals)
                if log_entry["event"] in ("run", "refused")
                and log_entry["id"] in calls
            ),
            key=lambda arrival: arrival.at,
        )
        for arrival in arrivals:
            self._check_zone(arrival)
            if arrival.log_entry["event"] == "run":
                self._check_key(arrival)
        self._check_limits(arrivals)
        self._check_cold(arrivals)
        self._check_pauses(arrivals)

    def _arrival(
        self, call: edge_soak_checks.CallRecord, log_entry: LogEntry
    ) -> _Arrival:
        at = log_entry["arrived_at"]
        starts = [
            delay.started_at
            for delay in self._delays
            if delay.holds_requests
            and delay.name == log_entry["worker"]
            and delay.started_at <= at <= delay.ended_at + _RELEASE_S
        ]
        return _Arrival(
            call=call,
            log_entry=log_entry,
            at=at,
            sent_after=max(call.sent_at, min(starts)) if starts else at,
        )

    def _check_zone(self, arrival: _Arrival) -> None:
        zone = self._worker_zones[arrival.worker]
        for evacuation in self._evacuations:
            late_s = (
                arrival.sent_after
                - evacuation.confirmed_at
                - edge_fleet.EVACUATE_S
            )
            if (
                evacuation.zone == zone
                and late_s > 0.0
                and arrival.at < evacuation.removal_sent_at
            ):
                self._add_violation(
                    f"EVACUATED: {arrival.call.request_id} from "
                    f"{arrival.call.node} reached {arrival.process} in zone "
                    f"{zone} {late_s:.3f} s after the bound"
                )

    def _check_key(self, arrival: _Arrival) -> None:
        call = arrival.call
        log_entry = arrival.log_entry
        if log_entry["has_key"]:
            self._add_violation(
                f"KEY: {call.request_id} reached {arrival.process} with a key"
            )
        key = self._accounts.keys.get(call.key or "")
        account = "" if call.is_public or key is None else key.account
        if log_entry["account"] != account:
            self._add_violation(
                f"ACCOUNT: {call.request_id} of {account!r} ran for "
                f"{log_entry['account']!r}"
            )
        if call.is_public:
            return
        if key is None:
            self._add_violation(
                f"UNKNOWN: {call.request_id} from {call.node} ran without a "
                "known key"
            )
            return
        late_s = arrival.sent_after - key.revoked_at - edge_fleet.REVOKE_S
        if late_s > 0.0:
            self._add_violation(
                f"REVOKED: {call.request_id} from {call.node} reached "
                f"{arrival.process} {late_s:.3f} s after the bound"
            )

    def _check_limits(self, arrivals: Sequence[_Arrival]) -> None:
        """Checks the number of each account's calls that ran in any window.

        A call counts once, at its first run. Calls that may have been held up
        are left out, because they may arrive together.
        """
        first_runs: dict[str, _Arrival] = {}
        for arrival in arrivals:
            if arrival.log_entry["event"] == "run":
                first_runs.setdefault(arrival.call.request_id, arrival)
        times = collections.defaultdict(list)
        for arrival in first_runs.values():
            if not arrival.held_up:
                times[arrival.log_entry["account"]].append(arrival.at)
        for account, run_times in times.items():
            if account not in self._accounts.limits:
                continue
            for started_at, ended_at, count in _windows(
                run_times, edge_fleet.LIMIT_WINDOW_S
            ):
                bound = self._limit_bound(account, started_at, ended_at)
                if count > bound:
                    self._add_violation(
                        f"LIMIT: {count} calls of {account} in the window "
                        f"that ends at {ended_at:.3f}, bound {bound:.1f}"
                    )
                    break

    def _limit_bound(
        self, account: str, started_at: float, ended_at: float
    ) -> float:
        """Returns the most calls that any limit in force at a time allows.

        Nodes that cannot read the store may follow an earlier limit for any
        time, so a lowered limit is binding only with planned operations.
        """
        apply_s = edge_fleet.CONFIG_APPLY_S if self._planned_only else math.inf
        bound = 0.0
        for limit in self._accounts.limits[account]:
            if (
                limit.sent_at > ended_at
                or limit.replaced_at + apply_s < started_at
            ):
                continue
            if not limit.calls_per_s:
                return math.inf
            allowed = (
                limit.calls_per_s * edge_fleet.LIMIT_WINDOW_S
                + limit.burst_calls
            )
            bound = max(
                bound,
                allowed * (1 + edge_fleet.LIMIT_OVERAGE)
                + edge_fleet.LIMIT_TOLERANCE,
            )
        return bound

    def _check_cold(self, arrivals: Sequence[_Arrival]) -> None:
        """Checks the number of requests to cold workers in any second.

        Requests that may have been held up are left out, as above.
        """
        times = collections.defaultdict(list)
        for arrival in arrivals:
            if arrival.log_entry["cold"] and not arrival.held_up:
                times[arrival.process].append(arrival.at)
        for process, arrival_times in times.items():
            for _, ended_at, count in _windows(arrival_times, _COLD_WINDOW_S):
                if count > _MAX_COLD_CALLS:
                    self._add_violation(
                        f"COLD: {count} requests to {process} in the second "
                        f"that ends at {ended_at:.3f}, bound "
                        f"{_MAX_COLD_CALLS:.1f}"
                    )
                    break

    def _check_pauses(self, arrivals: Sequence[_Arrival]) -> None:
        """Checks that a node respects the pauses that workers request of it.

        Left out are requests for a pause that the node may not have received
        in time: the caller had disconnected, or a process was ended, frozen
        or cut off.
        """
        for (node, _), requests in _by_node_and_process(arrivals):
            paused: list[_Arrival] = []
            for arrival in requests:
                for refusal in paused:
                    paused_s = arrival.at - refusal.at
                    if _MAX_IN_FLIGHT_S < paused_s < refusal.log_entry[
                        "pause_s"
                    ] and not self._disturbed(node, refusal, arrival):
                        self._add_violation(
                            f"PAUSE: {arrival.call.request_id} from {node} "
                            f"reached {arrival.process} {paused_s:.3f} s after "
                            f"{refusal.call.request_id} got a request for a "
                            f"pause of {refusal.log_entry['pause_s']} s"
                        )
                if (
                    arrival.log_entry.get("pause_s")
                    and not arrival.call.disconnects_early
                ):
                    paused.append(arrival)

    def _disturbed(
        self, node: str, refusal: _Arrival, arrival: _Arrival
    ) -> bool:
        if self._process_changed_at[node] >= refusal.at or arrival.held_up:
            return True
        return any(
            delay.name in (node, arrival.worker)
            and delay.started_at <= arrival.at
            and refusal.at <= delay.ended_at + _RELEASE_S
            for delay in self._delays
        )


def _windows(
    times: Sequence[float], window_s: float
) -> Iterator[tuple[float, float, int]]:
    """Yields start, end and number of times of the window up to each time."""
    recent: collections.deque[float] = collections.deque()
    for at in times:
        recent.append(at)
        while recent[0] < at - window_s:
            recent.popleft()
        yield at - window_s, at, len(recent)


def _by_node_and_process(
    arrivals: Sequence[_Arrival],
) -> Iterator[tuple[tuple[str, str], list[_Arrival]]]:
    def pair(arrival: _Arrival) -> tuple[str, str]:
        return arrival.call.node, arrival.process

    # The sort is stable, so the arrivals of each pair remain in their order.
    for key, group in itertools.groupby(sorted(arrivals, key=pair), key=pair):
        yield key, list(group)
