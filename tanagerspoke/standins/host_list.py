"""Host list of the platform's stand-in, which lags behind its changes."""

import collections
import dataclasses

from tanagerspoke.protocol import platform


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    """A change at a time (monotonic seconds); None removes the host."""

    at: float
    name: str
    entry: platform.HostEntry | None


class HostList:
    """Shows each change `lag_s` seconds after it was made.

    A lag that grows holds back new changes; changes that were shown stay.
    """

    def __init__(self) -> None:
        self._current: dict[str, platform.HostEntry] = {}
        self._shown: dict[str, platform.HostEntry] = {}
        self._pending: collections.deque[_Change] = collections.deque()
        self._version = 0

    def put(self, entry: platform.HostEntry, *, now: float) -> None:
        """Adds or replaces a host."""
        self._current[entry.name] = entry
        self._pending.append(_Change(at=now, name=entry.name, entry=entry))

    def delete(self, name: str, *, now: float) -> None:
        """Removes a host."""
        if self._current.pop(name, None) is not None:
            self._pending.append(_Change(at=now, name=name, entry=None))

    def replace(
        self, entries: tuple[platform.HostEntry, ...], *, now: float
    ) -> None:
        """Replaces all hosts."""
        names = {entry.name for entry in entries}
        for name in [name for name in self._current if name not in names]:
            self.delete(name, now=now)
        for entry in entries:
            self.put(entry, now=now)

    def current(self) -> tuple[platform.HostEntry, ...]:
        """Returns the hosts without any lag."""
        return tuple(self._current.values())

    def version(self, *, now: float, lag_s: float) -> int:
        """Returns the version that the list shows."""
        while self._pending and self._pending[0].at + lag_s <= now:
            change = self._pending.popleft()
            self._version += 1
            if change.entry is None:
                self._shown.pop(change.name, None)
            else:
                self._shown[change.name] = change.entry
        return self._version

    def shown(self, *, now: float, lag_s: float) -> platform.HostList:
        """Returns the list as a reader gets it."""
        version = self.version(now=now, lag_s=lag_s)
        return platform.HostList(
            version=version, hosts=tuple(self._shown.values())
        )
