"""Gate for calls whose key may have been removed since they arrived."""

from collections.abc import Callable

from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tanagerspoke.state import accounts


class KeyGate(dispatch_gate.DispatchGate):
    """Closed for calls on a removed key or an outdated configuration.

    Calls without a key pass: those of public routes and of deployments
    without accounts.
    """

    limits_upstreams = False

    def __init__(
        self,
        *,
        index: accounts.AccountIndex,
        config_freshness: freshness.ConfigFreshness,
        clock: Callable[[], float],
    ) -> None:
        """Creates a gate.

        Args:
            index: accounts of the newest configuration.
            config_freshness: proofs of that configuration.
            clock: returns the time of the clock of `config_freshness`; the
                schedulers run on another clock, which stops while the machine
                is suspended.
        """
        self._index = index
        self._freshness = config_freshness
        self._clock = clock

    def check(self, call: calls.Call, now: float) -> errors.ErrorCode | None:
        """Implements `DispatchGate`."""
        del now
        if call.key_digest is None:
            return None
        if not self._freshness.is_confirmed(self._clock()):
            return errors.ErrorCode.CONFIG_UNCONFIRMED
        account = self._index.find(call.key_digest)
        if account is None or account.name != call.client_account:
            return errors.ErrorCode.API_KEY_REJECTED
        return None

    def admits(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Implements `DispatchGate`; keys do not restrict upstreams."""
        del upstream, now
        return True

    def record_dispatch(self, upstream: upstreams.Upstream, now: float) -> None:
        """Implements `DispatchGate`."""
        del upstream, now
