"""Explains what a client account means for a call."""

import dataclasses

from tanagerspoke import exceptions
from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import routing
from tanagerspoke.transport.callers import key_access
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import usage_service

_NO_ACCOUNTS_NOTE = "the deployment has no client accounts; the name is ignored"
_PUBLIC_NOTE = "the route is public; client accounts have no effect on it"


class UnknownAccountError(Exception):
    """No client account has the name."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """What a call of an account would get at its arrival.

    Attributes:
        account: account of the call, None where it has none.
        key_digest: digest of one of its keys; must not be shown.
        facts: what is shown of the account.
        refusal: refusal for its key, or None.
        notes: what the explanation does not take into account.
    """

    account: routing.Account | None = None
    key_digest: str | None = None
    facts: placement.AccountFacts | None = None
    refusal: exceptions.CallRefusedError | None = None
    notes: tuple[str, ...] = ()


class AccountExplainer:
    """Decides on a named account as on a call with one of its keys."""

    def __init__(
        self,
        *,
        keys: key_access.KeyAccess,
        proofs: config_proofs.ConfigProofs,
        usage: usage_service.UsageService | None,
    ) -> None:
        """Creates an instance.

        Args:
            keys: accounts of the configuration, and the decision on a key.
            proofs: proofs of the configuration.
            usage: tokens of this node; None where usage is not limited.
        """
        self._keys = keys
        self._proofs = proofs
        self._usage = usage

    def explain(self, name: str, route: routing.Route) -> Admission:
        """Returns what a call of the account would get; takes no token.

        Args:
            name: name of the account, empty for a call without a key.
            route: route of the call.

        Raises:
            UnknownAccountError: the configuration has no such account.
        """
        if not self._keys.has_accounts:
            return Admission(notes=(_NO_ACCOUNTS_NOTE,) if name else ())
        account = self._keys.find_account(name)
        if name and account is None:
            # Without the name, which may be a key that was given by mistake.
            raise UnknownAccountError("no client account has this name")
        if route.public:
            return Admission(notes=(_PUBLIC_NOTE,) if name else ())
        decision, key_digest = self._keys.decide_without_call(account)
        facts = None if account is None else self._facts(account, route)
        match decision:
            case authentication.Accepted():
                return Admission(
                    account=account,
                    key_digest=key_digest,
                    facts=facts,
                    notes=_token_notes(facts),
                )
            case authentication.Rejected(code=code):
                return Admission(facts=facts, refusal=key_access.refusal(code))

    def _facts(
        self, account: routing.Account, route: routing.Route
    ) -> placement.AccountFacts:
        held_tokens = None
        if self._usage is not None and account.calls_per_s:
            held_tokens = self._usage.held_tokens(account.name)
        freshness = self._proofs.freshness
        return placement.AccountFacts(
            name=account.name,
            priority=self._keys.account_priority(account, route),
            calls_per_s=account.calls_per_s,
            burst_calls=account.burst_calls,
            held_tokens=held_tokens,
            proof_age_s=self._proofs.age_s,
            max_proof_age_s=freshness.max_age_s,
            keyed_calls_run=freshness.is_confirmed(self._proofs.now_s()),
        )


def _token_notes(facts: placement.AccountFacts) -> tuple[str, ...]:
    if facts.held_tokens != 0:
        return ()
    return (
        "this node holds no token of the account; a call first asks the "
        "account's owner, which may refuse it",
    )
