"""Checks that must hold at the moment at which an attempt is sent.

A call may wait in a queue or be retried long after it was accepted. Meanwhile
its key may have been revoked or an upstream may have become cold. One gate,
which first attempts, retries and hedges pass alike, replaces checks at each of
these places.
"""

from collections.abc import Sequence
from typing import Protocol

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import upstreams


class DispatchGate(Protocol):
    """Decides whether a call may be sent now, and to which upstreams.

    Attributes:
        limits_upstreams: whether `admits` may be false for any upstream.
        exclusion: why `admits` is false where it is.
    """

    limits_upstreams = True
    exclusion = placement.Exclusion.NOT_ADMITTED

    def check(self, call: calls.Call, now: float) -> errors.ErrorCode | None:
        """Returns why the call must not be sent now, or None.

        The call then ends with this code, unless an earlier attempt may have
        run.
        """

    def admits(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Returns whether the upstream may get a call now."""

    def record_dispatch(self, upstream: upstreams.Upstream, now: float) -> None:
        """Records that a call is sent to the upstream."""


class CombinedGate(DispatchGate):
    """Gate that requires the consent of all its parts."""

    def __init__(self, *, parts: Sequence[DispatchGate]) -> None:
        """Creates a gate; without parts, it lets everything pass."""
        self._parts = tuple(parts)
        self.limits_upstreams = any(part.limits_upstreams for part in parts)

    def check(self, call: calls.Call, now: float) -> errors.ErrorCode | None:
        """Implements `DispatchGate`."""
        for part in self._parts:
            code = part.check(call, now)
            if code is not None:
                return code
        return None

    def admits(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Implements `DispatchGate`."""
        return self.why_not_admitted(upstream, now) is None

    def why_not_admitted(
        self, upstream: upstreams.Upstream, now: float
    ) -> placement.Exclusion | None:
        """Returns why the upstream may get no call now, or None."""
        for part in self._parts:
            if not part.admits(upstream, now):
                return part.exclusion
        return None

    def record_dispatch(self, upstream: upstreams.Upstream, now: float) -> None:
        """Implements `DispatchGate`."""
        for part in self._parts:
            part.record_dispatch(upstream, now)
