"""Admits calls by the API keys of client accounts."""

from collections.abc import Callable

from tanagerspoke import exceptions
from tanagerspoke.coordination import refusals
from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.coordination.accounts import key_gate
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import routing
from tanagerspoke.state import accounts
from tanagerspoke.transport.callers import caller_calls

_MESSAGES = {
    errors.ErrorCode.API_KEY_REJECTED: "the request has no valid key",
    errors.ErrorCode.CONFIG_UNCONFIRMED: (
        "this node cannot confirm its configuration now"
    ),
}


def refusal(code: errors.ErrorCode) -> exceptions.CallRefusedError:
    """Returns the error of a call that is refused for its key."""
    retry_after_s = None
    if code is errors.ErrorCode.CONFIG_UNCONFIRMED:
        retry_after_s = refusals.CONFIG_UNCONFIRMED_RETRY_AFTER_S
    return exceptions.CallRefusedError(
        code=code, message=_MESSAGES[code], retry_after_s=retry_after_s
    )


class KeyAccess:
    """Authenticates calls at their arrival and before each attempt.

    Attributes:
        gate: checks the key of each attempt; see `KeyGate`.
    """

    def __init__(
        self,
        *,
        config_freshness: freshness.ConfigFreshness,
        clock: Callable[[], float],
    ) -> None:
        """Creates an instance for a deployment without accounts.

        Args:
            config_freshness: proofs of the configuration.
            clock: returns the time of the clock of `config_freshness`.
        """
        self._clock = clock
        self._index = accounts.AccountIndex()
        self._authentication = authentication.Authentication(
            index=self._index, config_freshness=config_freshness
        )
        self.gate = key_gate.KeyGate(
            index=self._index, config_freshness=config_freshness, clock=clock
        )

    @property
    def has_accounts(self) -> bool:
        """Whether calls need a key, except those of public routes."""
        return self._index.has_accounts

    def apply(self, table: routing.RoutingTable) -> None:
        """Replaces the accounts by those of a newer routing table."""
        self._index.apply(table.accounts)

    def find_account(self, name: str) -> routing.Account | None:
        """Returns the account with a name, None if unknown."""
        return self._index.find_by_name(name)

    def decide_without_call(
        self, account: routing.Account | None
    ) -> tuple[authentication.Decision, str | None]:
        """Returns what a call on a key of an account would get.

        Nothing is counted.

        Args:
            account: the account; None for a call without a key.

        Returns:
            The decision, and the digest of the key that it was made for.
        """
        key_digest = None
        if account is not None:
            key_digest = self._index.valid_digest(account)
        presented: key_digests.PresentedKey = key_digests.DefectiveKey(
            defect=key_digests.KeyDefect.MISSING
        )
        if key_digest is not None:
            presented = key_digests.WellFormedKey(digest=key_digest)
        decision = self._authentication.decide(
            presented=presented, now=self._clock()
        )
        return decision, key_digest

    def authenticate(
        self, request: caller_calls.CallerRequest, route: routing.Route
    ) -> routing.Account | None:
        """Returns the account of a request, None if it needs none.

        Also sets the account and the rejection in the record of the call.

        Raises:
            CallRefusedError: the key is rejected, or the node cannot know
                whether it is still valid.
        """
        record = request.record
        record.client_account = ""
        if not self.has_accounts:
            return None
        if request.presented_key is None:
            # Its headers were read for a deployment without accounts and may
            # hold a key, so they must not be forwarded.
            self._refuse(
                record,
                errors.ErrorCode.CONFIG_UNCONFIRMED,
                authentication.RejectionReason.ACCOUNTS_ADDED,
            )
        if route.public:
            return None
        match self._authentication.decide(
            presented=request.presented_key, now=self._clock()
        ):
            case authentication.Accepted(account=account):
                record.client_account = account.name
                return account
            case authentication.Rejected(code=code, reason=reason):
                self._refuse(record, code, reason)

    def _refuse(
        self,
        record: caller_calls.CallRecord,
        code: errors.ErrorCode,
        reason: str,
    ) -> None:
        record.rejection = str(reason)
        raise refusal(code)

    def account_priority(
        self, account: routing.Account | None, route: routing.Route
    ) -> int:
        """Returns the rank that precedes the route's in the queue.

        Without accounts it is 0 for all calls, so that the route's decides.
        """
        if account is not None and account.priority is not None:
            return account.priority
        return route.priority if self.has_accounts else 0

    def may_send(self, call: calls.Call) -> bool:
        """Returns whether an attempt of a call may still be sent."""
        return self.gate.check(call, call.arrived_at) is None
