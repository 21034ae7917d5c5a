"""Why a call was refused, from its log line, and what an operator can do."""

from collections.abc import Iterator
from typing import Any

from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import key_digests

_ADVICE_KEY_HEADER = (
    "have the caller send exactly one key, and check that no proxy drops or "
    "repeats the header"
)
_ADVICE_PROOF = (
    "compare `tanagerspokectl status` of this node and others: if all proofs "
    "are old, restore the store; if only this one is, restore its links to the "
    "store and to other nodes, or stop it"
)
_ADVICE_LIMIT = (
    "compare the account's refused calls in `tanagerspokectl status` of each "
    "node; raise rate_per_s or burst in the manifest, or have the caller send "
    "less and honour Retry-After"
)
_ADVICE_CAPACITY = (
    "look at the service in `tanagerspokectl status` and at its upstreams in "
    "`tanagerspokectl where`; add upstreams or slots"
)
# Reason and advice by the reason of a rejection.
_REJECTIONS = {
    key_digests.KeyDefect.MISSING: (
        "the request has no API key",
        _ADVICE_KEY_HEADER,
    ),
    key_digests.KeyDefect.REPEATED: (
        "the request has more than one API key",
        _ADVICE_KEY_HEADER,
    ),
    key_digests.KeyDefect.OVERSIZED: (
        "the API key is too long to be valid",
        "have the caller check its key",
    ),
    key_digests.KeyDefect.MALFORMED: (
        "the API key has characters that no key has",
        "have the caller check its key",
    ),
    authentication.RejectionReason.UNKNOWN: (
        "no client account has the API key in the configuration in force",
        "check that the caller uses a current key; if it was just added, "
        "compare config_version with the manifest's version",
    ),
    authentication.RejectionReason.REMOVED: (
        "the API key was removed while the call waited",
        "have the caller use a current key",
    ),
    authentication.RejectionReason.NO_PROOF: (
        "this node has no proof that its configuration is the newest",
        _ADVICE_PROOF,
    ),
    authentication.RejectionReason.OLD_PROOF: (
        "this node's proof that its configuration is the newest has expired",
        _ADVICE_PROOF,
    ),
    authentication.RejectionReason.AT_DISPATCH: (
        "this node's proof that its configuration is the newest expired while "
        "the call waited",
        _ADVICE_PROOF,
    ),
    authentication.RejectionReason.ACCOUNTS_ADDED: (
        "client accounts were added to the configuration while the request "
        "was read",
        "none needed: the next request is served",
    ),
}
# Reason and advice by the code of a call.
_CODES = {
    errors.ErrorCode.RATE_LIMITED: (
        "the client account is over its usage limit",
        _ADVICE_LIMIT,
    ),
    errors.ErrorCode.USAGE_UNCONFIRMED: (
        "no node that grants the account's tokens answered in time, or the "
        "backup owner had none left",
        "check the nodes under `owners` and the UDP port after their peer port",
    ),
    errors.ErrorCode.QUEUE_TIMEOUT: (
        "the call waited for a free slot of an upstream, and none came in time",
        _ADVICE_CAPACITY,
    ),
    errors.ErrorCode.QUEUE_FULL: (
        "as many calls as the service's slots allow waited at this node for a "
        "free slot",
        _ADVICE_CAPACITY,
    ),
    errors.ErrorCode.NO_UPSTREAM: (
        "no upstream of the service may get calls: none is listed, or all "
        "leave, drain or are in an evacuated zone",
        "look for `upstreams_changed`, `zone_evacuated` and the service in "
        "`tanagerspokectl status`; start upstreams or end the evacuation",
    ),
    errors.ErrorCode.UPSTREAM_SHED: (
        "the upstreams refused the call, or all of them asked for a pause that "
        "ends too late for it",
        _ADVICE_CAPACITY,
    ),
    errors.ErrorCode.STOPPING: (
        "the node was stopping and could not end the call in time",
        "none needed: other nodes serve the caller's next request",
    ),
    errors.ErrorCode.NOT_CONFIGURED: (
        "the node had just started and knew no configuration",
        "look for `store_lost` and `peer_not_asked` if this lasts",
    ),
    errors.ErrorCode.UNKNOWN_ROUTE: (
        "no route of the configuration in force has the host and path",
        "compare the request with the routes of the manifest",
    ),
    errors.ErrorCode.UNUSABLE_ROUTE: (
        "the route of the request is unusable as the manifest has it",
        "look for `config_problem` and correct the route",
    ),
    errors.ErrorCode.UPSTREAM_UNREACHABLE: (
        "no upstream that the call was sent to could be reached",
        "check the upstreams of the trail and the links of this node",
    ),
}
_UNITS = {
    "retry_after_s": "s",
    "proof_age_s": "s",
    "max_proof_age_s": "s",
    "report_age_s": "s",
    "deadline_ms": "ms",
}


def describe(call: dict[str, Any]) -> Iterator[str]:
    """Yields reason, figures and advice; nothing for calls not refused.

    Args:
        call: fields of the call's log line; those that are missing or not
            understood are left out.
    """
    facts = call.get("refusal")
    if not isinstance(facts, dict):
        facts = {}
    known = _CODES.get(str(call.get("code")))
    known = _REJECTIONS.get(str(facts.get("reason")), known)
    if known is None:
        return
    reason, advice = known
    yield f"  reason: {reason}"
    figures = _figures(call, facts)
    if figures:
        yield f"  figures: {'; '.join(figures)}"
    yield f"  what to do: {advice}"


def _figures(call: dict[str, Any], facts: dict[str, Any]) -> list[str]:
    figures = []
    if call.get("client_account"):
        figures.append(f"client account {call['client_account']}")
    for name, value in facts.items():
        if name == "reason":
            continue
        match value:
            case None:
                text = "none"
            case list():
                text = ", ".join(_owner(owner) for owner in value) or "none"
            case _:
                text = f"{value} {_UNITS.get(name, '')}".rstrip()
        figures.append(f"{name} {text}")
    return figures


def _owner(owner: Any) -> str:
    if not isinstance(owner, dict):
        return str(owner)
    state = {True: "responds", False: "does not respond"}
    responds = owner.get("responds")
    return f"{owner.get('node')} ({state.get(responds, 'not asked')})"
