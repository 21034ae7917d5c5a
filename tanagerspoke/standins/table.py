"""Table of the platform's stand-in: rows with versions and expiration."""

import bisect
import dataclasses
import heapq
import math

from tanagerspoke.protocol import platform

# Maximum age of a stale read; older states of a row are dropped.
MAX_STALE_S = 120.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _RowState:
    """State of a row between two times (seconds); `row` is None if deleted."""

    since: float
    until: float
    row: platform.Row | None


class Table:
    """Rows with versions; transactions are atomic.

    Earlier states remain available for `MAX_STALE_S` seconds, for stale reads.
    """

    def __init__(self) -> None:
        self._states: dict[str, list[_RowState]] = {}
        self._keys: list[str] = []
        self._expirations: list[tuple[float, str]] = []
        self._version = 0

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, key: str, *, at: float) -> platform.Row | None:
        """Returns the row at a time; None if it was absent or expired."""
        for state in reversed(self._states.get(key, ())):
            if state.since <= at:
                return state.row if at < state.until else None
        return None

    def scan(
        self, *, prefix: str, after: str, limit: int, at: float
    ) -> platform.ScanReply:
        """Returns rows whose keys have a prefix, in key order after `after`."""
        rows: list[platform.Row] = []
        first_index = bisect.bisect_left(self._keys, prefix)
        if after:
            first_index = max(
                first_index, bisect.bisect_right(self._keys, after)
            )
        for index in range(first_index, len(self._keys)):
            key = self._keys[index]
            if not key.startswith(prefix):
                break
            row = self.get(key, at=at)
            if row is None:
                continue
            if len(rows) == limit:
                return platform.ScanReply(rows=tuple(rows), more=True)
            rows.append(row)
        return platform.ScanReply(rows=tuple(rows), more=False)

    def transact(
        self, transaction: platform.Transaction, *, now: float
    ) -> platform.TransactionReply:
        """Applies all operations, or none if a condition fails."""
        self._remove_expired(now)
        conflicts = []
        for operation in transaction.operations:
            row = self.get(operation.key, at=now)
            if not _condition_holds(operation.condition, row):
                conflicts.append(platform.Conflict(key=operation.key, row=row))
        if conflicts:
            return platform.Rejected(conflicts=tuple(conflicts))
        self._version += 1
        for operation in transaction.operations:
            self._write(operation, now=now)
        return platform.Committed(version=self._version)

    def _write(self, operation: platform.Operation, *, now: float) -> None:
        match operation.write:
            case platform.Put(value=value, ttl_s=ttl_s):
                until = math.inf if ttl_s is None else now + ttl_s
                row = platform.Row(
                    key=operation.key, value=value, version=self._version
                )
                self._append_state(
                    _RowState(since=now, until=until, row=row), row.key
                )
            case platform.Delete():
                if self.get(operation.key, at=now) is not None:
                    self._append_state(
                        _RowState(since=now, until=now, row=None), operation.key
                    )
            case platform.Check():
                pass

    def _append_state(self, state: _RowState, key: str) -> None:
        states = self._states.get(key)
        if states is None:
            states = self._states[key] = []
            bisect.insort(self._keys, key)
        states.append(state)
        while len(states) > 1 and states[1].since <= state.since - MAX_STALE_S:
            del states[0]
        if state.until < math.inf:
            heapq.heappush(self._expirations, (state.until, key))

    def _remove_expired(self, now: float) -> None:
        while (
            self._expirations and self._expirations[0][0] <= now - MAX_STALE_S
        ):
            until, key = heapq.heappop(self._expirations)
            states = self._states.get(key)
            if states is None or states[-1].until != until:
                continue
            del self._states[key]
            del self._keys[bisect.bisect_left(self._keys, key)]


def _condition_holds(
    condition: platform.Condition, row: platform.Row | None
) -> bool:
    match condition:
        case platform.Absent():
            return row is None
        case platform.VersionIs(version=version):
            return row is not None and row.version == version
        case platform.Always():
            return True
