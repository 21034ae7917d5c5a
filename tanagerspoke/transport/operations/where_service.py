"""Answers `GET /where` on the operators' port: where would a call go now?

Nothing is sent, and neither queues nor budgets nor choices of later calls
change.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import Protocol

from aiohttp import web
import msgspec

from tanagerspoke import exceptions
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import routing
from tanagerspoke.transport.operations import where_accounts

PATH = "/where"
# Id of a call that is only explained; those of callers are not negative.
_CALL_ID = -1
# Methods that callers use; others are probably typing errors.
_METHODS = frozenset(
    {"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
)


class Explainer(Protocol):
    """Scheduler of a service."""

    def explain(
        self, *, call: calls.Call, now: float
    ) -> placement.ServicePlacement:
        """Returns where a call that arrives now would go."""


class NewCall(Protocol):
    """Creates a call as it would arrive from a caller."""

    def __call__(
        self,
        *,
        call_id: int,
        route: routing.Route,
        started_at: float,
        deadline_s: float | None,
        account: routing.Account | None,
        key_digest: str | None,
    ) -> calls.Call:
        """Returns the call; `deadline_s` is the time that its caller has."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """A call that is to be explained.

    Attributes:
        account: name of the client account, empty for none.
        deadline_s: time that the caller has, None where it states none.
    """

    host: str
    path: str
    method: str = "GET"
    account: str = ""
    deadline_s: float | None = None


class WhereService:
    """Explains calls by the decisions of the running edge."""

    def __init__(
        self,
        *,
        node: str,
        config_version: Callable[[], int | None],
        find_route: Callable[[str, str], routing.Route],
        accounts: where_accounts.AccountExplainer,
        new_call: NewCall,
        scheduler: Callable[[str], Explainer],
        clock: Callable[[], float],
    ) -> None:
        """Creates the service.

        Args:
            node: name of the node.
            config_version: returns the version of the configuration in force.
            find_route: returns the route of a host and path; raises
                `CallRefusedError`.
            accounts: explains client accounts.
            new_call: creates a call.
            scheduler: returns the scheduler of a service; one that is not in
                use yet must not be kept.
            clock: returns monotonic seconds.
        """
        self._node = node
        self._config_version = config_version
        self._find_route = find_route
        self._accounts = accounts
        self._new_call = new_call
        self._scheduler = scheduler
        self._clock = clock

    async def serve(self, req: web.Request) -> web.Response:
        """Responds with a JSON `Explanation`, or with 400 to a bad query."""
        try:
            query = _parse(req)
            explanation = self.explain(query)
        except (ValueError, where_accounts.UnknownAccountError) as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.Response(
            body=msgspec.json.encode(explanation),
            content_type="application/json",
        )

    def explain(self, query: Query) -> placement.Explanation:
        """Returns what would happen to a call now.

        Raises:
            UnknownAccountError: the query names an unknown client account.
        """
        explanation = placement.Explanation(
            node=self._node,
            config_version=self._config_version(),
            notes=_notes(query),
        )
        try:
            route = self._find_route(query.host, query.path)
        except exceptions.CallRefusedError as exc:
            return msgspec.structs.replace(explanation, refusal=_refusal(exc))
        admission = self._accounts.explain(query.account, route)
        now = self._clock()
        call = self._new_call(
            call_id=_CALL_ID,
            route=route,
            started_at=now,
            deadline_s=query.deadline_s,
            account=admission.account,
            key_digest=admission.key_digest,
        )
        explanation = msgspec.structs.replace(
            explanation,
            route=_facts(route),
            account=admission.facts,
            deadline_s=call.deadline - now,
            notes=explanation.notes + admission.notes,
        )
        if admission.refusal is not None:
            return msgspec.structs.replace(
                explanation, refusal=_refusal(admission.refusal)
            )
        total_weight = sum(weighted.weight for weighted in route.services)
        return msgspec.structs.replace(
            explanation,
            services=tuple(
                msgspec.structs.replace(
                    self._scheduler(weighted.service).explain(
                        call=call, now=now
                    ),
                    service=weighted.service,
                    share=weighted.weight / total_weight,
                )
                for weighted in route.services
            ),
        )


def _parse(req: web.Request) -> Query:
    """Returns the query of a request.

    Raises:
        ValueError: a parameter is missing, unknown or malformed.
    """
    params = dict(req.query)
    unknown = params.keys() - {"host", "path", "method", "account", "deadline"}
    if unknown or len(params) != len(req.query):
        raise ValueError(f"unknown or repeated parameter: {sorted(params)}")
    host, path = params.get("host", ""), params.get("path", "")
    if not host or not path.startswith("/"):
        raise ValueError("host and a path that starts with / are required")
    method = params.get("method", "GET").upper()
    if method not in _METHODS:
        raise ValueError(f"unknown method: {method}")
    deadline_s = None
    if "deadline" in params:
        deadline_s = float(params["deadline"])
        if not (math.isfinite(deadline_s) and deadline_s > 0.0):
            raise ValueError("deadline must be a number of seconds above 0")
    return Query(
        host=host,
        path=path,
        method=method,
        account=params.get("account", ""),
        deadline_s=deadline_s,
    )


def _refusal(exc: exceptions.CallRefusedError) -> placement.Refusal:
    return placement.Refusal(
        code=exc.code.value,
        status=errors.status_of(exc.code),
        message=str(exc),
        retry_after_s=exc.retry_after_s,
    )


def _facts(route: routing.Route) -> placement.RouteFacts:
    return placement.RouteFacts(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        idempotent=route.idempotent,
        timeout_s=route.timeout_s,
        target_latency_s=route.target_latency_s,
        priority=route.priority,
        max_attempts=route.max_attempts,
    )


def _notes(query: Query) -> tuple[str, ...]:
    notes = []
    if query.method not in ("GET", "HEAD"):
        notes.append("the method has no effect; the route decides on repeats")
    return tuple(notes)
