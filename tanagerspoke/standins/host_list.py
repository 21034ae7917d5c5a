"""Host list of the platform's stand-in, which shows changes with a delay."""

import collections
import dataclasses

from tanagerspoke.protocol import platform


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    """A change of the list.

    Attributes:
        made_at: monotonic time in seconds.
        name: name of the host.
        entry: new entry; None removes the host.
    """

    made_at: float
    name: str
    entry: platform.HostEntry | None


class HostList:
    """Host list that shows each change `lag_s` seconds after it was made.

    A longer lag delays pending changes; changes already shown are not undone.
    """

    def __init__(self) -> None:
        self._current: dict[str, platform.HostEntry] = {}
        self._shown: dict[str, platform.HostEntry] = {}
        self._pending: collections.deque[_Change] = collections.deque()
        self._version = 0

    def put(self, entry: platform.HostEntry, *, now: float) -> None:
        """Adds or replaces a host."""
        self._current[entry.name] = entry
        self._pending.append(_Change(made_at=now, name=entry.name, entry=entry))

    def delete(self, name: str, *, now: float) -> None:
        """Removes a host, if it is in the list."""
        if self._current.pop(name, None) is not None:
            self._pending.append(_Change(made_at=now, name=name, entry=None))

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
        """Returns the hosts with all changes, without the lag."""
        return tuple(self._current.values())

    def version(self, *, now: float, lag_s: float) -> int:
        """Shows the changes that are due; returns the version of the list."""
        while self._pending and self._pending[0].made_at + lag_s <= now:
            change = self._pending.popleft()
            self._version += 1
            if change.entry is None:
                self._shown.pop(change.name, None)
            else:
                self._shown[change.name] = change.entry
        return self._version

    def shown(self, *, now: float, lag_s: float) -> platform.HostList:
        """Returns the list with the changes that are due."""
        version = self.version(now=now, lag_s=lag_s)
        return platform.HostList(
            version=version, hosts=tuple(self._shown.values())
        )
