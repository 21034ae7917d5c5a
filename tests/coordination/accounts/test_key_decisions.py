"""Tests of the decision on a key, at the arrival of a call and later."""

import pytest

from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.coordination.accounts import key_gate
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import routing
from tanagerspoke.state import accounts

_REJECTED = errors.ErrorCode.API_KEY_REJECTED
_UNCONFIRMED = errors.ErrorCode.CONFIG_UNCONFIRMED
_BOUND_S = 5.0


def _accounts(**keys: tuple[str, ...]) -> dict[str, routing.Account]:
    return {
        name: routing.Account(
            name=name, key_digests=tuple(map(key_digests.digest, of_account))
        )
        for name, of_account in keys.items()
    }


class _Node:
    """The parts that decide on keys, at time 0 with a proof of that time."""

    def __init__(self, *, bound_s: float | None = _BOUND_S) -> None:
        self.now = 0.0
        self.index = accounts.AccountIndex()
        self.index.apply(_accounts(shop=("k1", "k2"), bank=("k3",)))
        self.freshness = freshness.ConfigFreshness(bound_s=bound_s)
        self.freshness.set_version(1)
        self.freshness.record_proof(version=1, proven_at=0.0)
        self.gate = key_gate.KeyGate(
            index=self.index,
            config_freshness=self.freshness,
            clock=lambda: self.now,
        )

    def decide(self, *values: str) -> authentication.Decision:
        return authentication.Authentication(
            index=self.index, config_freshness=self.freshness
        ).decide(presented=key_digests.read_key(values), now=self.now)

    def check(self, key: str | None, account: str = "shop") -> object:
        call = calls.Call(
            call_id=1,
            client_account=account,
            call_class=calls.CallClass.LOOKUP,
            idempotent=True,
            arrived_at=0.0,
            deadline=9.0,
            key_digest=None if key is None else key_digests.digest(key),
        )
        return self.gate.check(call, 0.0)


@pytest.mark.parametrize(
    ("values", "reason"),
    [
        ((), "missing"),
        (("k1", "k1"), "repeated"),
        (("k1", "other"), "repeated"),
        (("k" * 513,), "oversized"),
        (("",), "malformed"),
        (("k 1",), "malformed"),
        (("k\t1",), "malformed"),
        (("k1\x7f",), "malformed"),
        (("clé",), "malformed"),
        (("k\udcff",), "malformed"),
        (("k4",), "unknown"),
        (("K1",), "unknown"),
        (("k" * 512,), "unknown"),
    ],
)
def test_bad_keys_are_rejected(values: tuple[str, ...], reason: str) -> None:
    """Guards against a call that runs without a valid key."""
    decision = _Node().decide(*values)
    assert decision == authentication.Rejected(code=_REJECTED, reason=reason)


def test_key_identifies_its_account() -> None:
    """Guards against calls that are counted for another account."""
    decision = _Node().decide("k3")
    assert isinstance(decision, authentication.Accepted)
    assert decision.account.name == "bank"


def test_key_of_two_accounts_is_valid_for_none() -> None:
    """Guards against an account that is chosen by the order of a table."""
    node = _Node()
    node.index.apply(_accounts(shop=("k1", "k2"), bank=("k2",)))
    assert isinstance(node.decide("k1"), authentication.Accepted)
    assert node.decide("k2").code is _REJECTED


@pytest.mark.parametrize("key", ["k1", "k4"])
def test_old_proof_rejects_known_and_unknown_keys_with_503(key: str) -> None:
    """Guards against calls on removed keys, and 401 for a key that is new.

    A caller takes 401 as final, but the node may not know the key yet.
    """
    node = _Node()
    node.now = _BOUND_S - 0.4
    assert node.decide(key) == authentication.Rejected(
        code=_UNCONFIRMED, reason="old_proof"
    )
    assert node.decide("k 1").code is _REJECTED
    node.now -= 0.001
    accepted = isinstance(node.decide(key), authentication.Accepted)
    assert accepted == (key == "k1")


def test_without_strict_revocation_no_proof_is_needed() -> None:
    """Guards against an outage of the store that stops lenient deployments."""
    node = _Node(bound_s=None)
    node.now = 1e6
    assert isinstance(node.decide("k1"), authentication.Accepted)
    assert node.check("k1") is None


def test_gate_refuses_removed_and_moved_keys_and_old_proofs() -> None:
    """Guards against a queued call, retry or hedge on a removed key.

    The scheduler asks the gate before each of them; see
    `test_dispatch_gate`.
    """
    node = _Node()
    assert node.check("k1") is None
    node.index.apply(_accounts(shop=("k2",), bank=("k1",)))
    assert node.check("k1") is _REJECTED
    assert node.check("k1", "bank") is None
    node.index.apply(None)
    assert node.check("k2") is _REJECTED
    assert node.check(None) is None
    node.now = _BOUND_S
    assert node.check("k2") is _UNCONFIRMED
    assert node.check(None) is None
