"""Exceptions raised by tanagerspoke."""


class TanagerspokeError(Exception):
    """Base class of all errors of this package."""


class SettingsError(TanagerspokeError):
    """A settings file is unreadable or contains invalid values."""


class DeclarationError(TanagerspokeError):
    """One or more declarations are invalid."""


class ProtocolError(TanagerspokeError):
    """A message violates its protocol."""


class CallRefusedError(TanagerspokeError):
    """A call is refused; none of its own attempts ran.

    An earlier request with the same idempotency key may have run.

    Attributes:
        code: stable error code, see `tanagerspoke.protocol.errors`.
        retry_after_s: seconds after which a retry may succeed, or None.
        decided_by: node that decided, empty if it is the one that was called.
    """

    def __init__(
        self,
        *,
        code,
        message: str,
        retry_after_s=None,
        decided_by: str = "",
    ) -> None:
        super().__init__(message)
        self.code = code
        self.retry_after_s = retry_after_s
        self.decided_by = decided_by


class PlatformError(TanagerspokeError):
    """A request to the platform failed."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no valid reply; a write may have taken effect."""


class AnswerRejectedError(PlatformUnavailableError):
    """An answer exceeds a bound; nothing of it is used."""


class HistoryLostError(PlatformError):
    """The platform no longer has the changes since the requested position."""


class AgentUnavailableError(TanagerspokeError):
    """An agent did not reply or rejected the request."""


class UpstreamError(TanagerspokeError):
    """An exchange with an upstream failed."""
