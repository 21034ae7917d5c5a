"""Declarations that operators keep in version control.

A template names services with their routes and limits; a client account
names its template and fills in the template's parameters.
"""

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
        concurrency: running calls of one client account, over the fleet.
    """

    name: Name
    routes: Annotated[list[Route], pydantic.Field(min_length=1)]
    pull_slot_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.5
    rate_per_s: Limit | None = None
    concurrency: Limit | None = None


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
