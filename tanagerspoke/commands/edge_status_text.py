"""Text of the state of an edge node for operators."""

from collections.abc import Iterator, Mapping

from tanagerspoke.protocol import edge_status


def describe(status: edge_status.EdgeStatus) -> Iterator[str]:
    """Yields the lines of a state."""
    version = "no configuration"
    if status.config_version is not None:
        version = f"configuration version {status.config_version}"
    yield (
        f"node {status.node} (zone {status.availability_zone}): "
        f"{'ready' if status.ready else 'not ready'}, {version}, "
        f"{status.unusable_routes} unusable routes"
    )
    source = "reads the store itself"
    if status.followed_node is not None:
        source = f"follows node {status.followed_node}"
    yield f"{source}; {status.nodes} nodes listed"
    yield f"freshness proof: {_proof(status.proof)}"
    for zone in status.zones:
        yield (
            f"zone {zone.zone} is evacuated (store version "
            f"{zone.store_version})"
        )
    if status.total_accounts:
        yield (
            f"{status.total_accounts} client accounts, calls of the last "
            f"{status.window_s:g} s at this node:"
        )
    for account in status.accounts:
        yield "  " + _account(account, limits_applied=status.limits_applied)
    if status.refused_without_account:
        refused = _counts(status.refused_without_account)
        yield f"  without an account: refused {refused}"
    yield from _omitted(
        status.total_accounts - len(status.accounts), "accounts", "--account"
    )
    yield f"{status.total_services} services:"
    for service in status.services:
        yield "  " + _service(service)
    yield from _omitted(
        status.total_services - len(status.services), "services", "--service"
    )


def _omitted(count: int, kind: str, option: str) -> Iterator[str]:
    if count > 0:
        yield f"  {count} other {kind} not shown; {option} NAME shows one"


def _proof(proof: edge_status.ProofStatus | None) -> str:
    if proof is None:
        return "not needed"
    text = "none"
    if proof.age_s is not None:
        text = f"{_age(proof.age_s)} old, from {proof.source}"
    runs = "run" if proof.keyed_calls_run else "are refused"
    return f"{text}; valid for {_age(proof.max_age_s)}, calls with a key {runs}"


def _account(
    account: edge_status.AccountStatus, *, limits_applied: bool
) -> str:
    limit = "no limit"
    if account.calls_per_s:
        limit = (
            f"limit {account.calls_per_s:g}/s and {account.burst_calls:g} at "
            "once"
        )
        if not limits_applied:
            limit += " (not applied by this node)"
    line = f"{account.name}: {limit}; admitted {account.admitted}, refused "
    line += _counts(account.refused) if account.refused else "0"
    if account.held_tokens is not None:
        line += f"; {account.held_tokens} tokens held"
        roles = ("owner", "backup owner")
        for role, owner in zip(roles, account.owners, strict=False):
            line += f"; {role} {owner.node} ({_responds(owner)})"
        if not account.owners:
            line += "; no owner, since no node is listed"
    return line


def _responds(owner: edge_status.OwnerStatus) -> str:
    match owner.responds:
        case None:
            return "not asked yet"
        case False:
            return f"no answer for {_age(owner.unanswered_s)}"
    if owner.last_answer_age_s is None:
        return "this node"
    return f"answered {_age(owner.last_answer_age_s)} ago"


def _counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.items())


def _service(service: edge_status.ServiceStatus) -> str:
    load = "no load report"
    if service.mean_utilization is not None:
        load = (
            f"mean utilization {service.mean_utilization:.0%}, newest report "
            f"{_age(service.newest_report_age_s)} old"
        )
    line = (
        f"{service.service}: {service.queued_calls} queued, {load}; "
        f"{service.eligible} of {service.upstreams} upstreams eligible with "
        f"{service.slots} slots: {service.full} full, {service.paused} paused, "
        f"{service.ejected} ejected, {service.cold} cold"
    )
    if service.cold_upstreams:
        more = ", ..." if service.cold > len(service.cold_upstreams) else ""
        line += f" ({', '.join(service.cold_upstreams)}{more})"
    return line


def _age(seconds: float | None) -> str:
    if seconds is None:
        return "unknown"
    return f"{1000 * seconds:.0f} ms" if seconds < 1.0 else f"{seconds:.1f} s"
