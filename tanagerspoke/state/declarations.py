"""Declarations that operators keep in version control.

A template names services with their routes and limits; a client account
names its template and fills in the template's parameters.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
import dataclasses as stdlib_dataclasses
import enum
from typing import Annotated, Literal

import pydantic
from pydantic import dataclasses

from tanagerspoke.protocol import calls

_CONFIG = pydantic.ConfigDict(extra="forbid")

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
PositiveNumber = Annotated[float, pydantic.Field(gt=0)]


class KeyRule(enum.StrEnum):
    """Whether a write may or must carry an idempotency key."""

    NONE = "none"
    OPTIONAL = "optional"
    REQUIRED = "required"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Parameter:
    """A number that a client account may set within bounds."""

    default: PositiveNumber
    minimum: PositiveNumber
    maximum: PositiveNumber


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class ParameterRef:
    """Reference to a parameter of the template."""

    parameter: str


Limit = PositiveNumber | ParameterRef


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Objective:
    """Service-level objective: minimum share of calls within a latency."""

    latency_ms: PositiveNumber
    ratio: Annotated[float, pydantic.Field(gt=0, lt=1)]


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Route:
    """Calls of one class, selected by method and path prefix."""

    path_prefix: Annotated[str, pydantic.Field(pattern="^/")]
    methods: list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]]
    call_class: calls.CallClass
    deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)]
    idempotency_key: KeyRule = KeyRule.NONE
    hedge: bool = False
    objective: Objective


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Service:
    """A service that client accounts of a template may call.

    Attributes:
        pull_slot_share: maximum share of the slots of the service's upstreams
            that pulls may occupy.
        rate_per_s: maximum calls per second of one client account in the
            whole fleet.
        concurrency: maximum concurrent lookups and writes of one client
            account in the whole fleet.
        pull_concurrency: maximum concurrent pulls of one client account in
            the whole fleet. Pulls have a separate limit, so that they never
            use up the limit of short calls.
    """

    name: Name
    routes: Annotated[list[Route], pydantic.Field(min_length=1)]
    pull_slot_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.5
    rate_per_s: Limit | None = None
    concurrency: Limit | None = None
    pull_concurrency: Limit | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Template:
    """Services, routes and limits of the client accounts that use it."""

    kind: Literal["template"]
    name: Name
    parameters: dict[Name, Parameter] = pydantic.Field(default_factory=dict)
    services: Annotated[list[Service], pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class ClientAccount:
    """A client account and its values for the template's parameters.

    Attributes:
        token_sha256: SHA-256 digest, in hex, of the bearer token that callers
            must present; None where no token is needed.
    """

    kind: Literal["client_account"]
    name: Name
    template: Name
    parameters: dict[Name, PositiveNumber] = pydantic.Field(
        default_factory=dict
    )
    token_sha256: (
        Annotated[str, pydantic.Field(pattern="^[0-9a-f]{64}$")] | None
    ) = None


Declaration = Annotated[
    Template | ClientAccount, pydantic.Field(discriminator="kind")
]
ADAPTER = pydantic.TypeAdapter(Declaration)


def parse(body: str | bytes) -> Template | ClientAccount:
    """Returns the declaration of a JSON text.

    Raises:
        pydantic.ValidationError: the text is invalid; lists every error.
    """
    return ADAPTER.validate_json(body)


@stdlib_dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LocatedDeclaration:
    """A declaration and the file or name that it was read from."""

    source: str
    declaration: Template | ClientAccount


def check(
    declared: Iterable[LocatedDeclaration], *, complete: bool = True
) -> list[str]:
    """Returns errors within and between well-formed declarations.

    Args:
        declared: well-formed declarations.
        complete: whether they are all declarations, so that a reference to a
            template that is not among them is an error.
    """
    entries = list(declared)
    templates = {
        d.declaration.name: d.declaration
        for d in entries
        if isinstance(d.declaration, Template)
    }
    errors = check_duplicates(entries)
    for entry in entries:
        match entry.declaration:
            case Template() as template:
                problems = _check_template(template)
            case ClientAccount() as account:
                if not complete and account.template not in templates:
                    continue
                problems = _check_account(account, templates)
        errors.extend(f"{entry.source}: {problem}" for problem in problems)
    errors.extend(_check_services(entries))
    return errors


def check_duplicates(declared: Iterable[LocatedDeclaration]) -> list[str]:
    """Returns an error for each duplicate declaration."""
    first_sources: dict[tuple[str, str], str] = {}
    errors = []
    for entry in declared:
        key = entry.declaration.kind, entry.declaration.name
        if key in first_sources:
            errors.append(
                f"{entry.source}: $.name: {key[0]} {key[1]!r} is declared in "
                f"{first_sources[key]} too; rename or remove one"
            )
        first_sources.setdefault(key, entry.source)
    return errors


def _check_template(template: Template) -> Iterator[str]:
    for name, parameter in template.parameters.items():
        minimum, maximum = parameter.minimum, parameter.maximum
        if not minimum <= parameter.default <= maximum:
            yield (
                f"$.parameters.{name}.default: "
                f"expected {minimum} to {maximum}; found {parameter.default}"
            )
    names = collections.Counter(s.name for s in template.services)
    for index, service in enumerate(template.services):
        path = f"$.services[{index}]"
        if names[service.name] > 1:
            yield f"{path}.name: service {service.name!r} is repeated"
        yield from _check_routes(path, service)
        for field in ("rate_per_s", "concurrency", "pull_concurrency"):
            limit = getattr(service, field)
            if (
                isinstance(limit, ParameterRef)
                and limit.parameter not in template.parameters
            ):
                yield (
                    f"{path}.{field}.parameter: expected one of "
                    f"{sorted(template.parameters)}; "
                    f"found {limit.parameter!r}"
                )


def _check_routes(path: str, service: Service) -> Iterator[str]:
    declared_routes = set()
    for index, route in enumerate(service.routes):
        for method in route.methods:
            if (method, route.path_prefix) in declared_routes:
                yield (
                    f"{path}.routes[{index}]: {method} {route.path_prefix} "
                    "has a route already; remove one"
                )
            declared_routes.add((method, route.path_prefix))


def _check_account(
    account: ClientAccount, templates: Mapping[str, Template]
) -> Iterator[str]:
    template = templates.get(account.template)
    if template is None:
        yield (
            f"$.template: expected a declared template; "
            f"found {account.template!r}"
        )
        return
    for name, value in account.parameters.items():
        parameter = template.parameters.get(name)
        if parameter is None:
            yield (
                f"$.parameters.{name}: expected a parameter of template "
                f"{template.name!r}, one of {sorted(template.parameters)}"
            )
        elif not parameter.minimum <= value <= parameter.maximum:
            yield (
                f"$.parameters.{name}: expected {parameter.minimum} to "
                f"{parameter.maximum}; found {value}"
            )


def _check_services(entries: list[LocatedDeclaration]) -> Iterator[str]:
    """Yields an error for each service whose templates disagree on it."""
    first_declared: dict[str, tuple[str, float]] = {}
    for entry in entries:
        if not isinstance(entry.declaration, Template):
            continue
        for service in entry.declaration.services:
            first_source, first_share = first_declared.setdefault(
                service.name, (entry.source, service.pull_slot_share)
            )
            if first_share != service.pull_slot_share:
                yield (
                    f"{entry.source}: $.services: service {service.name!r} "
                    f"has pull_slot_share {service.pull_slot_share}, but "
                    f"{first_share} in {first_source}; make them equal"
                )
