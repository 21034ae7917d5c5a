"""Decides whether a key identifies a client account."""

import dataclasses
import enum
from typing import TypeAlias

from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import routing
from tanagerspoke.state import accounts


class RejectionReason(enum.StrEnum):
    """Why a call may not run, besides the defects of its key.

    The values are those of the metric label `reason`.
    """

    UNKNOWN = "unknown"
    REMOVED = "removed"
    NO_PROOF = "no_proof"
    OLD_PROOF = "old_proof"
    ACCOUNTS_ADDED = "accounts_added"
    AT_DISPATCH = "at_dispatch"


# Reasons of calls that passed at their arrival and were refused at dispatch.
_REASONS_AT_DISPATCH = {
    errors.ErrorCode.API_KEY_REJECTED.value: RejectionReason.REMOVED,
    errors.ErrorCode.CONFIG_UNCONFIRMED.value: RejectionReason.AT_DISPATCH,
}


def rejection_reason(code: str, reason: str) -> str:
    """Returns why a call was refused for its key, empty if it was not.

    Args:
        code: code of the ended call.
        reason: reason of its rejection at its arrival, or empty.
    """
    if reason or code not in _REASONS_AT_DISPATCH:
        return reason
    return _REASONS_AT_DISPATCH[code].value


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The key belongs to this account."""

    account: routing.Account


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The call may not run.

    Attributes:
        reason: a `RejectionReason` or a `key_digests.KeyDefect`.
    """

    code: errors.ErrorCode
    reason: str


Decision: TypeAlias = Accepted | Rejected


class Authentication:
    """Maps keys to accounts by the newest configuration of this node."""

    def __init__(
        self,
        *,
        index: accounts.AccountIndex,
        config_freshness: freshness.ConfigFreshness,
    ) -> None:
        """Creates an instance that follows the changes of its arguments."""
        self._index = index
        self._freshness = config_freshness

    def decide(
        self, *, presented: key_digests.PresentedKey, now: float
    ) -> Decision:
        """Returns the account of a key, or why the call may not run.

        A key that is not well-formed is in no configuration, so it is rejected
        without a proof. An unknown one may be in a newer configuration.

        Args:
            presented: what the request presents as its key.
            now: time of the clock of `ConfigFreshness`.
        """
        match presented:
            case key_digests.DefectiveKey(defect=defect):
                return Rejected(
                    code=errors.ErrorCode.API_KEY_REJECTED, reason=defect
                )
            case key_digests.WellFormedKey(digest=key_digest):
                return self._decide_well_formed(key_digest, now)

    def _decide_well_formed(self, key_digest: str, now: float) -> Decision:
        if not self._freshness.is_confirmed(now):
            has_proof = self._freshness.age_s(now) is not None
            return Rejected(
                code=errors.ErrorCode.CONFIG_UNCONFIRMED,
                reason=(
                    RejectionReason.OLD_PROOF
                    if has_proof
                    else RejectionReason.NO_PROOF
                ),
            )
        account = self._index.find(key_digest)
        if account is None:
            return Rejected(
                code=errors.ErrorCode.API_KEY_REJECTED,
                reason=RejectionReason.UNKNOWN,
            )
        return Accepted(account=account)
