"""Client accounts of the edge soak test: their keys, limits and changes."""

import dataclasses
import math
import random
import time

from tanagerspoke.platform import wire

# Numbers of calls per second and of burst calls; 0 where there is no limit.
# The callers exceed the limits several times.
_INITIAL_LIMITS = {"desk": (0.0, 0.0), "tours": (4.0, 4.0), "shop": (8.0, 6.0)}
# Relative numbers of calls.
_CALL_WEIGHTS = {"desk": 6, "tours": 2, "shop": 2}
_CHANGING_ACCOUNT = "shop"
_CHANGED_LIMITS = ((4.0, 2.0), (8.0, 6.0), (12.0, 10.0))
_MIN_KEYS = 2
_MAX_KEYS = 5
# Of the changes of a manifest, those that add a key, revoke one, and change a
# limit.
_ADDED_SHARE = 0.4
_REVOKED_SHARE = 0.4
_LIMIT_SHARE = 0.2
# Shares of calls without a key, with an unknown key and with a revoked one.
_MISSING_KEY_SHARE = 0.02
_UNKNOWN_KEY_SHARE = 0.03
_REVOKED_KEY_SHARE = 0.15
# Callers use this many keys on after they were revoked.
_REVOKED_KEYS_IN_USE = 4


@dataclasses.dataclass(kw_only=True)
class Key:
    """Key of a client account; times are monotonic seconds.

    Attributes:
        added_at: when the store confirmed the first manifest with the key.
        removal_sent_at: when the first manifest without it was sent.
        revoked_at: when the store confirmed that manifest.
    """

    text: str
    account: str
    added_at: float = math.inf
    removal_sent_at: float = math.inf
    revoked_at: float = math.inf


@dataclasses.dataclass(kw_only=True)
class Limit:
    """Limit of an account; times are monotonic seconds.

    Attributes:
        sent_at: when the first manifest with the limit was sent.
        replaced_at: when the store confirmed the first manifest without it.
    """

    calls_per_s: float
    burst_calls: float
    sent_at: float
    replaced_at: float = math.inf


class Accounts:
    """Accounts of a run, with the history of their keys and limits.

    Attributes:
        keys: all keys that any manifest has or had, by text.
        limits: limits by account, oldest first.
        steady_key: a key that is never revoked, of an account without limit.
    """

    def __init__(self, *, seed: int) -> None:
        self._seed = seed
        self._rng = random.Random(f"{seed}-accounts")
        self.keys: dict[str, Key] = {}
        self.limits = {
            account: [
                Limit(
                    calls_per_s=calls_per_s,
                    burst_calls=burst_calls,
                    sent_at=-math.inf,
                )
            ]
            for account, (calls_per_s, burst_calls) in _INITIAL_LIMITS.items()
        }
        for account in _INITIAL_LIMITS:
            for _ in range(_MIN_KEYS):
                self._add_key(account)
        self.steady_key = next(iter(self.keys))

    def tenants(self) -> dict[str, wire.Tenant]:
        """Returns the tenants of the next manifest."""
        return {
            account: wire.Tenant(
                api_keys=tuple(key.text for key in self._valid_keys(account)),
                rate_per_s=limits[-1].calls_per_s,
                burst=limits[-1].burst_calls,
            )
            for account, limits in self.limits.items()
        }

    def change(self) -> None:
        """Makes a random change of the next manifest."""
        account = self._rng.choice(tuple(self.limits))
        roll = self._rng.random()
        if roll < _ADDED_SHARE:
            if len(self._valid_keys(account)) < _MAX_KEYS:
                self._add_key(account)
        elif roll < _ADDED_SHARE + _REVOKED_SHARE:
            self._revoke_key(account)
        elif roll < _ADDED_SHARE + _REVOKED_SHARE + _LIMIT_SHARE:
            calls_per_s, burst_calls = self._rng.choice(_CHANGED_LIMITS)
            self.limits[_CHANGING_ACCOUNT].append(
                Limit(
                    calls_per_s=calls_per_s,
                    burst_calls=burst_calls,
                    sent_at=time.monotonic(),
                )
            )

    def revoke(self) -> None:
        """Revokes a key in the next manifest."""
        self._revoke_key(self._rng.choice(tuple(self.limits)))

    def confirm(self, at: float) -> None:
        """Records that the store confirmed the newest manifest."""
        for key in self.keys.values():
            if key.removal_sent_at < math.inf:
                key.revoked_at = min(key.revoked_at, at)
            else:
                key.added_at = min(key.added_at, at)
        for limits in self.limits.values():
            for limit in limits[:-1]:
                limit.replaced_at = min(limit.replaced_at, at)

    def draw_key(self, rng: random.Random) -> str | None:
        """Returns the key of a call, None for a call without key."""
        roll = rng.random()
        if roll < _MISSING_KEY_SHARE:
            return None
        if roll < _MISSING_KEY_SHARE + _UNKNOWN_KEY_SHARE:
            return f"unknown-{rng.randrange(1 << 32):08x}"
        (account,) = rng.choices(
            tuple(_CALL_WEIGHTS), weights=tuple(_CALL_WEIGHTS.values())
        )
        revoked = [
            key for key in self.keys.values() if key.removal_sent_at < math.inf
        ]
        if revoked and rng.random() < _REVOKED_KEY_SHARE:
            return rng.choice(revoked[-_REVOKED_KEYS_IN_USE:]).text
        return rng.choice(self._valid_keys(account)).text

    def _valid_keys(self, account: str) -> list[Key]:
        return [
            key
            for key in self.keys.values()
            if key.account == account and key.removal_sent_at == math.inf
        ]

    def _add_key(self, account: str) -> None:
        suffix = f"{self._rng.getrandbits(64):016x}"
        text = f"key-{self._seed}-{len(self.keys)}-{suffix}"
        self.keys[text] = Key(text=text, account=account)

    def _revoke_key(self, account: str) -> None:
        """Revokes a key; of keys that were in use, the account keeps some."""
        revocable = [
            key
            for key in self._valid_keys(account)
            if key.added_at < math.inf and key.text != self.steady_key
        ]
        if not revocable:
            return
        key = self._rng.choice(revocable)
        if len(self._valid_keys(account)) <= _MIN_KEYS:
            self._add_key(account)
        key.removal_sent_at = time.monotonic()
