"""Figures behind a refusal, as they are when the call ends."""

from collections.abc import Callable

from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.protocol import edge_status
from tanagerspoke.protocol import errors
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import key_access
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import usage_service

_KEY_CODES = frozenset(
    {errors.ErrorCode.API_KEY_REJECTED, errors.ErrorCode.CONFIG_UNCONFIRMED}
)
_USAGE_CODES = frozenset(
    {errors.ErrorCode.RATE_LIMITED, errors.ErrorCode.USAGE_UNCONFIRMED}
)
_CAPACITY_CODES = frozenset(
    {
        errors.ErrorCode.QUEUE_TIMEOUT,
        errors.ErrorCode.QUEUE_FULL,
        errors.ErrorCode.NO_UPSTREAM,
        errors.ErrorCode.UPSTREAM_SHED,
        errors.ErrorCode.UPSTREAM_UNREACHABLE,
    }
)


class RefusalFacts:
    """Collects what an operator needs to understand a refusal."""

    def __init__(
        self,
        *,
        node: str,
        keys: key_access.KeyAccess,
        proofs: config_proofs.ConfigProofs,
        usage: usage_service.UsageService | None,
        describe_service: Callable[[str], edge_status.ServiceStatus],
    ) -> None:
        """Creates an instance.

        Args:
            node: name of this node.
            keys: accounts of the configuration.
            proofs: proofs of the configuration.
            usage: tokens of this node; None where usage is not limited.
            describe_service: returns load and queue of a service.
        """
        self._node = node
        self._keys = keys
        self._proofs = proofs
        self._usage = usage
        self._describe_service = describe_service

    def describe(self, record: caller_calls.CallRecord) -> dict[str, object]:
        """Returns the fields of a call's log line; empty if not refused.

        The fields never hold a key or its digest.
        """
        code = record.code
        if code in _KEY_CODES:
            facts = self._key_facts(record)
        elif code in _USAGE_CODES:
            facts = self._usage_facts(record)
        elif code in _CAPACITY_CODES and record.service:
            facts = self._capacity_facts(record)
        else:
            return {}
        if record.retry_after_s is not None:
            facts["retry_after_s"] = round(record.retry_after_s, 3)
        facts["node"] = self._node
        return {"refusal": facts}

    def _key_facts(self, record: caller_calls.CallRecord) -> dict[str, object]:
        freshness = self._proofs.freshness
        return {
            "reason": authentication.rejection_reason(
                record.code, record.rejection
            ),
            "config_version": freshness.version,
            "proof_age_s": _rounded(self._proofs.age_s),
            "max_proof_age_s": _rounded(freshness.max_age_s),
            "proof_source": self._proofs.source,
        }

    def _usage_facts(
        self, record: caller_calls.CallRecord
    ) -> dict[str, object]:
        facts: dict[str, object] = {}
        account = self._keys.find_account(record.client_account)
        if account is not None:
            facts |= {
                "calls_per_s": account.calls_per_s,
                "burst_calls": account.burst_calls,
            }
        if record.code == errors.ErrorCode.RATE_LIMITED:
            return facts | {"decided_by": record.decided_by or self._node}
        owners = ()
        if self._usage is not None:
            owners = self._usage.owners(record.client_account)
        return facts | {
            "owners": [
                {"node": owner.node, "responds": owner.responds}
                for owner in owners
            ]
        }

    def _capacity_facts(
        self, record: caller_calls.CallRecord
    ) -> dict[str, object]:
        service = self._describe_service(record.service)
        facts: dict[str, object] = {
            "queued": service.queued_calls,
            "utilization": _rounded(service.mean_utilization),
            "report_age_s": _rounded(service.newest_report_age_s),
            "slots": service.slots,
            "listed": service.upstreams,
            "eligible": service.eligible,
            "full": service.full,
            "paused": service.paused,
            "ejected": service.ejected,
            "cold": service.cold,
        }
        if record.deadline is not None:
            facts["deadline_ms"] = round(
                (record.deadline - record.started_at) * 1000, 1
            )
        return facts


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
