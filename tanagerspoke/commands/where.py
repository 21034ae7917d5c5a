"""The subcommand `tanagerspokectl where`."""

from collections.abc import Iterator
import sys

from tanagerspoke.commands import edge_requests
from tanagerspoke.commands import program
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import placement

_PATH = "/where"
_REASONS = {
    placement.Exclusion.LEAVING: "leaving, by its entry",
    placement.Exclusion.DRAINING: "draining, by its own notice or report",
    placement.Exclusion.EJECTED: "ejected after failures",
    placement.Exclusion.PAUSED: "paused, as it asked",
    placement.Exclusion.ZONE_EVACUATED: "its zone is evacuated",
    placement.Exclusion.COLD: "cold, and used only for calls that wait",
    placement.Exclusion.COLD_LIMIT: "cold, and this node may send it none now",
    placement.Exclusion.NOT_COLD: "not cold",
    placement.Exclusion.NOT_ADMITTED: "not admitted by the gate",
    placement.Exclusion.RAMPING_UP: "ramping up, its attempt limit is reached",
    placement.Exclusion.ALREADY_TRIED: "already tried",
    placement.Exclusion.OWN_CALLS_FILL_IT: "this node's calls fill its slots",
    placement.Exclusion.FULL: "no free slot",
    placement.Exclusion.TOO_BUSY: "too few free slots",
    placement.Exclusion.SLOW: "slow, and has a call of this node already",
    placement.Exclusion.NO_FRESH_REPORT: "no fresh load report",
    placement.Exclusion.SLOW_HOST: "its host reports being slow",
}


def where(
    *,
    url: str,
    host: str,
    path: str,
    method: str = "GET",
    account: str = "",
    deadline_ms: float | None = None,
    json: bool = False,
) -> None:
    """Explains where a request would go now, and why, without sending it.

    Exits with 1 if the edge can't be reached or no route has the host and path,
    and with 2 if the edge rejects the arguments.

    Args:
        url: metrics port of an edge, such as http://127.0.0.1:9464.
        host: host name of the request.
        path: path of the request.
        method: method of the request.
        account: name of the client account of the request; never a key.
        deadline_ms: time that the caller has, in milliseconds.
        json: prints the answer of the edge as JSON.
    """
    params = {"host": host, "path": path, "method": method}
    if account:
        params["account"] = account
    if deadline_ms is not None:
        params["deadline"] = str(deadline_ms / 1000.0)
    body, explanation = edge_requests.ask(
        url=url, path=_PATH, params=params, answer_type=placement.Explanation
    )
    if json:
        print(body.decode())
    else:
        print("\n".join(describe(explanation)))
    refusal = explanation.refusal
    if refusal and refusal.code == errors.ErrorCode.UNKNOWN_ROUTE:
        print(f"no route has host {host} and path {path}", file=sys.stderr)
        raise SystemExit(program.EXIT_FAILED)


def describe(explanation: placement.Explanation) -> Iterator[str]:
    """Yields the lines of an explanation."""
    yield (
        f"node {explanation.node}, configuration version "
        f"{explanation.config_version}"
    )
    if explanation.refusal is not None:
        yield _refusal(explanation.refusal)
    route = explanation.route
    if route is not None:
        repeat = "may be repeated" if route.idempotent else "runs once at most"
        yield (
            f"route {route.name} ({route.host}{route.path_prefix}): {repeat}, "
            f"priority {route.priority}, target "
            f"{_ms(route.target_latency_s)}, deadline "
            f"{_ms(explanation.deadline_s)}, at most {route.max_attempts} "
            "attempts"
        )
    if explanation.account is not None:
        yield _describe_account(explanation.account)
    for service in explanation.services:
        yield from _describe_service(service)
    for note in explanation.notes:
        yield f"note: {note}"


def _describe_account(account: placement.AccountFacts) -> str:
    limit = "no limit"
    if account.calls_per_s:
        limit = (
            f"limit {account.calls_per_s:g} calls a second and "
            f"{account.burst_calls:g} at once"
        )
    if account.held_tokens is not None:
        limit += f", {account.held_tokens} tokens held here"
    proof = "no proof needed"
    if account.max_proof_age_s is not None:
        proof = "no proof"
        if account.proof_age_s is not None:
            proof = f"proof {_ms(account.proof_age_s)} old"
        proof += f", valid for {_ms(account.max_proof_age_s)}"
    runs = "run" if account.keyed_calls_run else "don't run"
    return (
        f"client account {account.name}: priority {account.priority}, {limit}; "
        f"{proof}, calls with a key {runs}"
    )


def _describe_service(service: placement.ServicePlacement) -> Iterator[str]:
    yield f"service {service.service} ({service.share:.1%} of the calls)"
    match service.outcome:
        case placement.Outcome.REFUSE:
            yield "  " + _refusal(service.refusal)
        case placement.Outcome.SEND:
            yield f"  sent to {service.upstream_id}"
        case placement.Outcome.WAIT:
            yield "  " + _wait(service)
    if service.queued_calls:
        yield (
            f"  {service.queued_calls} calls wait, {service.calls_ahead} of "
            "them go first"
        )
    for candidate in service.candidates:
        yield "  " + _describe_candidate(candidate, service.upstream_id)


def _wait(service: placement.ServicePlacement) -> str:
    line = "waits for an upstream"
    if service.fast_host_wait_s is not None:
        line += (
            " that reports a free slot on a fast host, for at most "
            f"{_ms(service.fast_host_wait_s)}; then "
            f"{service.upstream_after_wait or 'none'} by what is known now"
        )
    return f"{line}; refused after {_ms(service.expires_s)}"


def _describe_candidate(
    candidate: placement.Candidate, taken: str | None
) -> str:
    report = "no report"
    if candidate.report_age_s is not None:
        report = (
            f"report {_ms(candidate.report_age_s)} old, host slowness "
            f"{candidate.host_slowness:.1f}"
        )
    verdict = "possible"
    if candidate.exclusion is not None:
        verdict = _REASONS[candidate.exclusion]
        if candidate.exclusion_after_wait is None:
            verdict += "; possible after the wait"
        elif candidate.exclusion_after_wait is not candidate.exclusion:
            verdict += f"; {_REASONS[candidate.exclusion_after_wait]}"
    elif candidate.upstream_id == taken:
        verdict = "taken: lowest cost"
    if candidate.cost_s is not None:
        verdict += f", cost {_ms(candidate.cost_s)}"
    return (
        f"{candidate.upstream_id} (zone {candidate.availability_zone}): "
        f"{candidate.in_flight:.1f} of {candidate.slots} slots in use, "
        f"{candidate.own_in_flight} by this node; {report}, slowness "
        f"{candidate.slowness:.1f}: {verdict}"
    )


def _refusal(refusal: placement.Refusal) -> str:
    line = f"refused: {refusal.code}, status {refusal.status}"
    if refusal.message:
        line += f", {refusal.message}"
    if refusal.retry_after_s is None:
        return line
    line += f", Retry-After {refusal.retry_after_s:.2f} s"
    if refusal.max_retry_after_s is not None:
        line += f" to {refusal.max_retry_after_s:.2f} s"
    return line


def _ms(seconds: float | None) -> str:
    return "unknown" if seconds is None else f"{1000.0 * seconds:.0f} ms"
