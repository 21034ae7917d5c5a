"""Bounds the log lines of each event, so that failures stay cheap."""

import asyncio
from collections.abc import Callable
import logging
import time

log = logging.getLogger(__name__)

_SUMMARY_DELAY_S = 1.0
# Client accounts named in one summary; the others are counted together,
# since a caller can send any name.
_MAX_NAMED = 64
_OTHERS = "(others)"


class LogLimit:
    """Token bucket of one event.

    What is left out is logged as one `log_lines_left_out` line a second,
    with the counts of each client account.
    """

    def __init__(
        self,
        *,
        event: str,
        rate_per_s: float,
        burst: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._event = event
        self._rate_per_s = rate_per_s
        self._burst = float(burst)
        self._clock = clock
        self._tokens = float(burst)
        self._filled_at = clock()
        self._left_out: dict[str, int] = {}

    def allows(self, client_account: str) -> bool:
        """Returns whether to log the event now; counts it where not."""
        now = self._clock()
        filled = (now - self._filled_at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + filled)
        self._filled_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        left_out = self._left_out
        if not left_out:
            asyncio.get_running_loop().call_later(
                _SUMMARY_DELAY_S, self._summarize
            )
        if client_account not in left_out and len(left_out) >= _MAX_NAMED:
            client_account = _OTHERS
        left_out[client_account] = left_out.get(client_account, 0) + 1
        return False

    def _summarize(self) -> None:
        left_out = self._left_out
        self._left_out = {}
        log.warning(
            "log_lines_left_out",
            extra={
                "limited_event": self._event,
                "left_out": sum(left_out.values()),
                "client_accounts": left_out,
            },
        )
