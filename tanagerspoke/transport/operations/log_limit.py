"""Limits the log lines of an event, so that a surge of failures is cheap."""

import asyncio
from collections.abc import Callable
import logging
import time

log = logging.getLogger(__name__)

_SUMMARY_DELAY_S = 1.0
# Maximum number of keys in a summary. Lines with further keys are counted
# together, since a caller can send any client account name.
_MAX_SUMMARY_KEYS = 64
_OTHER_KEYS = "(others)"


class LogLimit:
    """Token bucket for the log lines of one event.

    A `log_lines_left_out` line, at most one per second, states the number of
    suppressed lines for each key, in the field `client_accounts`.

    Args:
        event: name of the event in the summary.
        rate_per_s: sustained limit, in lines per second.
        burst: maximum number of lines at once.
        clock: returns monotonic seconds.
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
        self._refilled_at = clock()
        self._suppressed_lines: dict[str, int] = {}

    def try_acquire(self, key: str) -> bool:
        """Takes a token; counts the line as suppressed if there is none.

        Returns whether the line may be logged.

        Args:
            key: what the summary counts the line by: a client account, or a
                name of another kind such as a route or an upstream.
        """
        now = self._clock()
        new_tokens = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + new_tokens)
        self._refilled_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        suppressed_lines = self._suppressed_lines
        if not suppressed_lines:
            asyncio.get_running_loop().call_later(
                _SUMMARY_DELAY_S, self._log_summary
            )
        if (
            key not in suppressed_lines
            and len(suppressed_lines) >= _MAX_SUMMARY_KEYS
        ):
            key = _OTHER_KEYS
        suppressed_lines[key] = suppressed_lines.get(key, 0) + 1
        return False

    def _log_summary(self) -> None:
        suppressed_lines = self._suppressed_lines
        self._suppressed_lines = {}
        log.warning(
            "log_lines_left_out",
            extra={
                "limited_event": self._event,
                "left_out": sum(suppressed_lines.values()),
                "client_accounts": suppressed_lines,
            },
        )
