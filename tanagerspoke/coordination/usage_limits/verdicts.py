"""Verdicts on calls, and what a node does to reach them."""

import dataclasses
from typing import TypeAlias

from tanagerspoke.protocol import usage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """The call has a token and may be sent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OverLimit:
    """The account is over its limit.

    Attributes:
        retry_after_s: time until a token is expected for this call.
        decided_by: node that grants the account's tokens and gave none.
    """

    retry_after_s: float
    decided_by: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unconfirmed:
    """No owner of the account could grant or refuse a token in time."""

    retry_after_s: float


Verdict: TypeAlias = Admitted | OverLimit | Unconfirmed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decide:
    """Gives a waiting call its verdict."""

    waiter_id: int
    verdict: Verdict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """Sends a request to a node, which may be this one."""

    node: str
    request: usage.TokenRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportSilence:
    """A node stopped answering, or answers again."""

    node: str
    is_silent: bool


Action: TypeAlias = Decide | Ask | ReportSilence
