"""Client account limits, divided over the live gateways of the fleet.

Each of the G live gateways enforces 1/g of a limit, where g is the number of
gateways that it believes to be alive. If calls are spread evenly, the fleet
admits G/g of the limit: too much while the list lacks gateways, too little
while it includes dead ones. Concurrency is rounded up to at least one call per
gateway, which adds fewer than G calls. A rate may be exceeded once by a burst
of one second's share. Uneven spreading only lowers what a client account gets.
"""

import dataclasses
import math

from tanagerspoke.protocol import errors

_BURST_S = 1.0
_CONCURRENCY_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitExceeded:
    """The exceeded limit and the seconds until a retry makes sense."""

    code: errors.ErrorCode
    retry_after_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Usage:
    tokens: float
    refilled_at: float
    running: int = 0


class AccountLimiter:
    """Enforces the limits of client accounts at one service."""

    def __init__(self, *, gateways: int = 1) -> None:
        self._gateways = max(1, gateways)
        self._usage: dict[str, _Usage] = {}

    def set_gateways(self, gateways: int) -> None:
        """Sets the number of live gateways of the fleet."""
        self._gateways = max(1, gateways)

    def acquire(
        self,
        *,
        client_account: str,
        rate_per_s: float | None,
        concurrency: float | None,
        now: float,
    ) -> LimitExceeded | None:
        """Admits a call, or returns the limit that it would exceed.

        Each call for which None was returned must be ended by `release`.
        """
        rate = None if rate_per_s is None else rate_per_s / self._gateways
        burst = 1.0 if rate is None else max(1.0, rate * _BURST_S)
        usage = self._usage.get(client_account)
        if usage is None:
            usage = _Usage(tokens=burst, refilled_at=now)
            self._usage[client_account] = usage
        if concurrency is not None:
            max_running = max(1, math.ceil(concurrency / self._gateways))
            if usage.running >= max_running:
                return LimitExceeded(
                    code=errors.ErrorCode.CONCURRENCY_LIMITED,
                    retry_after_s=_CONCURRENCY_RETRY_AFTER_S,
                )
        if rate is not None:
            elapsed_s = max(0.0, now - usage.refilled_at)
            usage.tokens = min(burst, usage.tokens + rate * elapsed_s)
            usage.refilled_at = now
            if usage.tokens < 1.0:
                wait_s = (1.0 - usage.tokens) / rate if rate > 0.0 else 60.0
                return LimitExceeded(
                    code=errors.ErrorCode.RATE_LIMITED,
                    retry_after_s=wait_s,
                )
            usage.tokens -= 1.0
        usage.running += 1
        return None

    def release(self, *, client_account: str) -> None:
        """Ends an admitted call."""
        usage = self._usage.get(client_account)
        if usage is not None and usage.running:
            usage.running -= 1
