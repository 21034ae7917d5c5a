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
Number = Annotated[float, pydantic.Field(gt=0)]


class KeyRule(enum.StrEnum):
    """Whether a write carries an idempotency key."""

    NONE = "none"
    OPTIONAL = "optional"
    REQUIRED = "required"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Parameter:
    """A number that each client account may set within bounds."""

    default: Number
    minimum: Number
    maximum: Number


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class ParameterRef:
    """Refers to a parameter of the template."""

    parameter: str


Limit = Number | ParameterRef


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Objective:
    """Service-level objective: share of calls faster than a latency."""

    latency_ms: Number
    ratio: Annotated[float, pydantic.Field(gt=0, lt=1)]


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Route:
    """Calls of one class, by method and path prefix."""

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
        pull_slot_share: most of an upstream fleet's slots held by pulls.
        rate_per_s: calls a second of one client account, over the fleet.
        concurrency: running lookups and writes of one client account, over
            the fleet.
        pull_concurrency: running pulls of one client account, over the
            fleet; counted apart, so that pulls never use up the limit of
            short calls.
    """

    name: Name
    routes: Annotated[list[Route], pydantic.Field(min_length=1)]
    pull_slot_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.5
    rate_per_s: Limit | None = None
    concurrency: Limit | None = None
    pull_concurrency: Limit | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Template:
    """Services, routes and limits for the client accounts that apply it."""

    kind: Literal["template"]
    name: Name
    parameters: dict[Name, Parameter] = pydantic.Field(default_factory=dict)
    services: Annotated[list[Service], pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class ClientAccount:
    """A client account and its values for the template's parameters.

    Attributes:
        token_sha256: hex digest of the bearer token that callers present.
    """

    kind: Literal["client_account"]
    name: Name
    template: Name
    parameters: dict[Name, Number] = pydantic.Field(default_factory=dict)
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
        pydantic.ValidationError: with every error of the text.
    """
    return ADAPTER.validate_json(body)


@stdlib_dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Declared:
    """A declaration and where it was read."""

    where: str
    declaration: Template | ClientAccount


def check(declared: Iterable[Declared], *, complete: bool = True) -> list[str]:
    """Returns every error that lies between or within valid declarations.

    Args:
        declared: well-formed declarations.
        complete: whether templates that are not among them are unknown.
    """
    found = list(declared)
    templates = {
        d.declaration.name: d.declaration
        for d in found
        if isinstance(d.declaration, Template)
    }
    errors = check_duplicates(found)
    for entry in found:
        match entry.declaration:
            case Template() as template:
                problems = _check_template(template)
            case ClientAccount() as account:
                if not complete and account.template not in templates:
                    continue
                problems = _check_account(account, templates)
        errors.extend(f"{entry.where}: {problem}" for problem in problems)
    errors.extend(_check_services(found))
    return errors


def check_duplicates(declared: Iterable[Declared]) -> list[str]:
    """Returns an error for each declaration that repeats another."""
    first: dict[tuple[str, str], str] = {}
    errors = []
    for entry in declared:
        key = entry.declaration.kind, entry.declaration.name
        if key in first:
            errors.append(
                f"{entry.where}: $.name: {key[0]} {key[1]!r} is declared in "
                f"{first[key]} too; rename or remove one"
            )
        first.setdefault(key, entry.where)
    return errors


def _check_template(template: Template) -> Iterator[str]:
    for name, parameter in template.parameters.items():
        low, high = parameter.minimum, parameter.maximum
        if not low <= parameter.default <= high:
            yield (
                f"$.parameters.{name}.default: expected {low} to {high}; "
                f"found {parameter.default}"
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
    seen = set()
    for index, route in enumerate(service.routes):
        for method in route.methods:
            if (method, route.path_prefix) in seen:
                yield (
                    f"{path}.routes[{index}]: {method} {route.path_prefix} "
                    "has a route already; remove one"
                )
            seen.add((method, route.path_prefix))


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


def _check_services(found: list[Declared]) -> Iterator[str]:
    """Compares what holds for a service whatever the client account."""
    first: dict[str, tuple[str, float]] = {}
    for entry in found:
        if not isinstance(entry.declaration, Template):
            continue
        for service in entry.declaration.services:
            where, share = first.setdefault(
                service.name, (entry.where, service.pull_slot_share)
            )
            if share != service.pull_slot_share:
                yield (
                    f"{entry.where}: $.services: service {service.name!r} "
                    f"has pull_slot_share {service.pull_slot_share}, but "
                    f"{share} in {where}; make them equal"
                )
