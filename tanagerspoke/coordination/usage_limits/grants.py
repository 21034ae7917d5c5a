"""Grants the tokens of the accounts that a node owns."""

from collections.abc import Callable, Mapping
import enum

from tanagerspoke.coordination.usage_limits import backup_pool
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.coordination.usage_limits import token_bucket
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage


class Role(enum.Enum):
    """Role of a node for an account."""

    OWNER = "owner"
    BACKUP = "backup"


# Share of a pool that callers that return leave to first requests.
_RESERVED_POOL_SHARE = 0.5
_ROLES_BY_RANK = (Role.OWNER, Role.BACKUP)


def role_of_rank(rank: int) -> Role:
    """Returns the role of a node's rank in `ownership.Ownership`."""
    return _ROLES_BY_RANK[rank]


class Grants:
    """Buckets and pools of the accounts that this node owns or backs up.

    A role that this node gains starts with nothing to grant: another node, or
    an earlier process of this one, may just have granted all that the window
    allows.
    """

    def __init__(
        self,
        *,
        divide: Callable[[routing.Account], shares.Shares],
        starts_full_until: float,
    ) -> None:
        """Creates a state without accounts.

        Args:
            divide: returns the shares of an account's owners.
            starts_full_until: time until which gained roles start with all
                their tokens, because the whole fleet has just started.
        """
        self._divide = divide
        self._starts_full_until = starts_full_until
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._pools: dict[str, backup_pool.BackupPool] = {}

    def update(
        self,
        *,
        roles: Mapping[str, Role],
        accounts: Mapping[str, routing.Account],
        now: float,
    ) -> None:
        """Applies changed roles and limits.

        Args:
            roles: role of this node by account.
            accounts: all accounts in `roles`.
            now: seconds of this node's monotonic clock.
        """
        buckets, self._buckets = self._buckets, {}
        pools, self._pools = self._pools, {}
        for name, role in roles.items():
            share = self._divide(accounts[name])
            match role:
                case Role.OWNER:
                    self._buckets[name] = self._update_bucket(
                        buckets.get(name), share, now
                    )
                case Role.BACKUP:
                    self._pools[name] = self._update_pool(
                        pools.get(name), share, now
                    )

    def answer(
        self, request: usage.TokenRequest, now: float
    ) -> usage.TokenReply:
        """Returns the reply to a node's request."""
        bucket = self._buckets.get(request.account)
        if bucket is not None:
            return _answer_from_bucket(bucket, request, now)
        pool = self._pools.get(request.account)
        if pool is not None:
            return _answer_from_pool(pool, request, now)
        return usage.TokenReply(
            request_id=request.request_id, result=usage.Result.NOT_OWNER
        )

    def _update_bucket(
        self,
        bucket: token_bucket.TokenBucket | None,
        share: shares.Shares,
        now: float,
    ) -> token_bucket.TokenBucket:
        if bucket is None:
            starts_full = now < self._starts_full_until
            return token_bucket.TokenBucket(
                calls_per_s=share.calls_per_s,
                burst_calls=share.burst_calls,
                tokens=share.burst_calls if starts_full else 0.0,
                now=now,
            )
        bucket.set_limit(
            calls_per_s=share.calls_per_s,
            burst_calls=share.burst_calls,
            now=now,
        )
        return bucket

    def _update_pool(
        self,
        pool: backup_pool.BackupPool | None,
        share: shares.Shares,
        now: float,
    ) -> backup_pool.BackupPool:
        if pool is None:
            starts_full = now < self._starts_full_until
            return backup_pool.BackupPool(
                calls=share.pool_calls,
                window_s=share.pool_window_s,
                available_from=(
                    now if starts_full else now + share.pool_window_s
                ),
            )
        pool.set_size(calls=share.pool_calls, window_s=share.pool_window_s)
        return pool


def _answer_from_bucket(
    bucket: token_bucket.TokenBucket, request: usage.TokenRequest, now: float
) -> usage.TokenReply:
    if request.is_for_retries:
        granted = bucket.take_for_retries(request.extra, now)
        refused = request.extra - granted
    else:
        granted = bucket.take(
            waiting=request.waiting, extra=request.extra, now=now
        )
        refused = request.waiting - granted
    if refused <= 0:
        return usage.TokenReply(
            request_id=request.request_id,
            result=usage.Result.GRANTED,
            granted=granted,
        )
    return usage.TokenReply(
        request_id=request.request_id,
        result=usage.Result.OVER_LIMIT,
        granted=granted,
        next_token_ms=usage.to_ms(bucket.seconds_to_next(now)),
        retry_after_ms=usage.to_ms(bucket.book(refused, now)),
    )


def _answer_from_pool(
    pool: backup_pool.BackupPool, request: usage.TokenRequest, now: float
) -> usage.TokenReply:
    # Tokens that nobody waits for are not taken from the small pool.
    waiting, reserved_share = request.waiting, 0.0
    if request.is_for_retries:
        waiting, reserved_share = request.extra, _RESERVED_POOL_SHARE
    granted = pool.take(waiting, now, reserved_share=reserved_share)
    if granted >= waiting:
        return usage.TokenReply(
            request_id=request.request_id,
            result=usage.Result.GRANTED,
            granted=granted,
        )
    next_token_ms = usage.to_ms(pool.seconds_to_next(now))
    return usage.TokenReply(
        request_id=request.request_id,
        result=usage.Result.POOL_EMPTY,
        granted=granted,
        next_token_ms=next_token_ms,
        retry_after_ms=next_token_ms,
    )
