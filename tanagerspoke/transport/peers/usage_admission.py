"""Starts calls of limited accounts once they have a token."""

from collections.abc import Callable

from tanagerspoke import exceptions
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import errors


def start_when_admitted(
    *,
    acquire: Callable[
        [Callable[[verdicts.Verdict], None]], Callable[[], object]
    ],
    start: Callable[[], Callable[[], object]],
    on_failed: Callable[[Exception], None],
) -> Callable[[], None]:
    """Asks for a token and starts the call when there is one.

    Args:
        acquire: see `usage_service.UsageService.acquire`.
        start: starts the call and returns a function that abandons it.
        on_failed: called with the error of a call that is not started.

    Returns:
        A function that ends the wait or abandons the call.
    """
    abandon: Callable[[], object] | None = None

    def on_verdict(verdict: verdicts.Verdict) -> None:
        nonlocal abandon
        match verdict:
            case verdicts.Admitted():
                try:
                    abandon = start()
                except Exception as exc:
                    # The caller gets the error; see `on_failed`.
                    on_failed(exc)
            case verdicts.OverLimit(
                retry_after_s=retry_after_s, decided_by=decided_by
            ):
                on_failed(
                    exceptions.CallRefusedError(
                        code=errors.ErrorCode.RATE_LIMITED,
                        message="the client account is over its usage limit",
                        retry_after_s=retry_after_s,
                        decided_by=decided_by,
                    )
                )
            case verdicts.Unconfirmed(retry_after_s=retry_after_s):
                on_failed(
                    exceptions.CallRefusedError(
                        code=errors.ErrorCode.USAGE_UNCONFIRMED,
                        message="the usage of the client account is not known",
                        retry_after_s=retry_after_s,
                    )
                )

    end_wait = acquire(on_verdict)

    def cancel() -> None:
        end_wait()
        if abandon is not None:
            abandon()

    return cancel
