"""The active configuration: an immutable, compiled snapshot."""

from collections.abc import Iterable, Mapping
import dataclasses

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.state import declarations


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A compiled route of a service."""

    service: str
    path_prefix: str
    methods: frozenset[str]
    call_class: calls.CallClass
    deadline_s: float
    key_rule: declarations.KeyRule
    hedge: bool
    objective_latency_s: float
    objective_ratio: float

    @property
    def idempotent(self) -> bool:
        """Whether a call of this route may run more than once."""
        return self.call_class is not calls.CallClass.WRITE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits of one client account at one service, over the whole fleet."""

    rate_per_s: float | None = None
    concurrency: float | None = None
    pull_concurrency: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AccountService:
    """Routes and limits of one client account at a service."""

    routes: tuple[Route, ...]
    limits: Limits


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account with its services."""

    name: str
    token_sha256: str | None
    services: Mapping[str, AccountService]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """Properties of a service that are the same for all client accounts."""

    pull_slot_share: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigSnapshot:
    """All declarations of one revision, compiled for lookups."""

    revision: int
    items: Mapping[tuple[str, str], str]
    accounts: Mapping[str, Account]
    services: Mapping[str, ServicePolicy]

    def route(
        self, *, client_account: str, service: str, method: str, path: str
    ) -> tuple[Account, AccountService, Route]:
        """Returns the account, service and route of a request.

        Raises:
            CallRefusedError: unknown client account, service or route.
        """
        account = self.accounts.get(client_account)
        if account is None:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.UNKNOWN_CLIENT_ACCOUNT,
                message=f"client account {client_account!r} is not declared",
            )
        account_service = account.services.get(service)
        if account_service is None:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.UNKNOWN_SERVICE,
                message=f"service {service!r} is not in the template of "
                f"client account {client_account!r}",
            )
        for route in account_service.routes:
            if method in route.methods and path.startswith(route.path_prefix):
                return account, account_service, route
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.UNKNOWN_ROUTE,
            message=f"service {service!r} has no route for {method} {path}",
        )


EMPTY = ConfigSnapshot(revision=0, items={}, accounts={}, services={})


def apply_update(
    *, snapshot: ConfigSnapshot, update: agent.ConfigUpdate
) -> ConfigSnapshot:
    """Returns the snapshot after an update.

    Returns the same snapshot if the update is not newer or builds on a
    revision that this snapshot has not reached.

    Raises:
        DeclarationError: an item is malformed; the old snapshot stays valid.
    """
    if update.revision <= snapshot.revision:
        return snapshot
    if update.base_revision > snapshot.revision:
        return snapshot
    items = {} if update.base_revision == 0 else dict(snapshot.items)
    for item in update.items:
        if item.body:
            items[item.kind, item.name] = item.body
        else:
            items.pop((item.kind, item.name), None)
    return compile_items(revision=update.revision, items=items)


def compile_items(
    *, revision: int, items: Mapping[tuple[str, str], str]
) -> ConfigSnapshot:
    """Returns the compiled snapshot of valid declarations.

    Client accounts whose template is not among the items are left out.

    Raises:
        DeclarationError: items are malformed (the message lists all of them),
            or a limit refers to a parameter that the template lacks.
    """
    parsed = _parse(items)
    templates = {
        d.name: d for d in parsed if isinstance(d, declarations.Template)
    }
    accounts = {
        d.name: _compile_account(account=d, template=templates[d.template])
        for d in parsed
        if isinstance(d, declarations.ClientAccount) and d.template in templates
    }
    return ConfigSnapshot(
        revision=revision,
        items=items,
        accounts=accounts,
        services=_compile_services(templates.values()),
    )


def _parse(
    items: Mapping[tuple[str, str], str],
) -> list[declarations.Template | declarations.ClientAccount]:
    parsed = []
    problems = []
    for (kind, name), body in items.items():
        try:
            parsed.append(declarations.parse(body))
        except ValueError as exc:
            first_line = str(exc).splitlines()[0]
            problems.append(f"{kind} {name}: {first_line}")
    if problems:
        raise exceptions.DeclarationError("; ".join(problems))
    return parsed


def _compile_services(
    templates: Iterable[declarations.Template],
) -> dict[str, ServicePolicy]:
    policies = {}
    for template in templates:
        for service in template.services:
            policies[service.name] = ServicePolicy(
                pull_slot_share=service.pull_slot_share
            )
    return policies


def _compile_account(
    *,
    account: declarations.ClientAccount,
    template: declarations.Template,
) -> Account:
    values = {
        name: account.parameters.get(name, parameter.default)
        for name, parameter in template.parameters.items()
    }
    return Account(
        name=account.name,
        token_sha256=account.token_sha256,
        services={
            service.name: AccountService(
                routes=_compile_routes(service),
                limits=Limits(
                    rate_per_s=_resolve_limit(service.rate_per_s, values),
                    concurrency=_resolve_limit(service.concurrency, values),
                    pull_concurrency=_resolve_limit(
                        service.pull_concurrency, values
                    ),
                ),
            )
            for service in template.services
        },
    )


def _compile_routes(service: declarations.Service) -> tuple[Route, ...]:
    return tuple(
        Route(
            service=service.name,
            path_prefix=route.path_prefix,
            methods=frozenset(route.methods),
            call_class=route.call_class,
            deadline_s=route.deadline_ms / 1000,
            key_rule=route.idempotency_key,
            hedge=route.hedge,
            objective_latency_s=route.objective.latency_ms / 1000,
            objective_ratio=route.objective.ratio,
        )
        for route in service.routes
    )


def _resolve_limit(
    limit: declarations.Limit | None, values: Mapping[str, float]
) -> float | None:
    match limit:
        case None:
            return None
        case declarations.ParameterRef(parameter=name):
            if name not in values:
                raise exceptions.DeclarationError(
                    f"a limit refers to the unknown parameter {name!r}"
                )
            return values[name]
        case _:
            return limit
