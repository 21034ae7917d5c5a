"""Exceptions raised by tanagerspoke."""


class TanagerspokeError(Exception):
    """Base class of all errors of this package."""


class SettingsError(TanagerspokeError):
    """A settings file is unreadable or holds invalid values."""


class DeclarationError(TanagerspokeError):
    """One or more declarations are invalid."""


class ProtocolError(TanagerspokeError):
    """A message does not follow its protocol."""


class CallRefusedError(TanagerspokeError):
    """A call is refused before anything was dispatched to an upstream.

    Attributes:
        code: stable error code, see `tanagerspoke.protocol.errors`.
        retry_after_s: seconds after which a retry makes sense, or None.
    """

    def __init__(self, *, code, message: str, retry_after_s=None) -> None:
        super().__init__(message)
        self.code = code
        self.retry_after_s = retry_after_s


class PlatformError(TanagerspokeError):
    """The platform's table, object store or host list failed."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; the outcome of a write is unknown."""


class HistoryLostError(PlatformError):
    """The platform no longer knows the changes since a position."""


class AgentUnavailableError(TanagerspokeError):
    """The agent of this host gave no answer."""


class UpstreamError(TanagerspokeError):
    """An exchange with an upstream failed."""
