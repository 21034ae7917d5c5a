"""Answers `GET /status` on the operators' port: the state of this node."""

from collections.abc import Callable, Mapping

from aiohttp import web
import msgspec

from tanagerspoke.coordination.accounts import recent_calls
from tanagerspoke.protocol import edge_status
from tanagerspoke.protocol import routing
from tanagerspoke.state import routes
from tanagerspoke.transport.operations import where_accounts
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import usage_service
from tanagerspoke.transport.peers import zone_feed_service

PATH = "/status"
# They bound the size of an answer; a query can name others.
MAX_ACCOUNTS = 200
MAX_SERVICES = 200
_MAX_ZONES = 64


class UnknownServiceError(Exception):
    """No service has the name."""


class StatusService:
    """Collects the state of the running edge; changes none."""

    def __init__(
        self,
        *,
        node: str,
        availability_zone: str,
        is_ready: Callable[[], bool],
        routing_state: routes.RouteState,
        feed: zone_feed_service.ZoneFeedService,
        proofs: config_proofs.ConfigProofs,
        usage: usage_service.UsageService | None,
        recent: recent_calls.RecentCalls,
        services: Callable[[], Mapping[str, edge_status.ServiceStatus]],
        clock: Callable[[], float],
    ) -> None:
        """Creates the service.

        Args:
            node: name of the node.
            availability_zone: zone of the node.
            is_ready: returns whether the readiness check succeeds.
            routing_state: the configuration in force.
            feed: the feed of nodes and evacuated zones.
            proofs: proofs of the configuration.
            usage: tokens of this node; None where usage is not limited.
            recent: ended calls of the last seconds.
            services: returns the state of each service.
            clock: returns seconds of the clock of `recent`.
        """
        self._node = node
        self._availability_zone = availability_zone
        self._is_ready = is_ready
        self._routes = routing_state
        self._feed = feed
        self._proofs = proofs
        self._usage = usage
        self._recent = recent
        self._services = services
        self._clock = clock

    async def serve(self, req: web.Request) -> web.Response:
        """Responds with a JSON `EdgeStatus`, or with 400 to a bad query."""
        try:
            params = dict(req.query)
            if params.keys() - {"account", "service"}:
                raise ValueError("the parameters are account and service")
            status = self.status(**params)
        except (
            ValueError,
            UnknownServiceError,
            where_accounts.UnknownAccountError,
        ) as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.Response(
            body=msgspec.json.encode(status), content_type="application/json"
        )

    def status(
        self, *, account: str = "", service: str = ""
    ) -> edge_status.EdgeStatus:
        """Returns the state of this node.

        Args:
            account: name of the only account to return, empty for all.
            service: name of the only service to return, empty for all.

        Raises:
            UnknownAccountError: the configuration has no such account.
            UnknownServiceError: this node knows no such service.
        """
        table = self._routes.table
        accounts = dict((table.accounts if table else None) or {})
        services = self._services()
        totals = self._recent.totals(self._clock())
        return edge_status.EdgeStatus(
            node=self._node,
            availability_zone=self._availability_zone,
            config_version=table.version if table else None,
            unusable_routes=len(table.unusable_routes) if table else 0,
            ready=self._is_ready(),
            followed_node=self._followed_node(),
            nodes=len(self._feed.nodes),
            window_s=recent_calls.WINDOW_S,
            proof=self._proof() if accounts else None,
            limits_applied=self._usage is not None,
            accounts=self._account_statuses(accounts, totals, account),
            total_accounts=len(accounts),
            refused_without_account=_refused(totals.get("", {})),
            zones=tuple(
                edge_status.ZoneStatus(zone=zone, store_version=version)
                for zone, version in sorted(self._feed.evacuated_zones.items())
            )[:_MAX_ZONES],
            services=_service_statuses(services, service),
            total_services=len(services),
        )

    def _followed_node(self) -> str | None:
        followed = self._feed.followed_node
        return followed.name if followed and self._feed.is_following else None

    def _proof(self) -> edge_status.ProofStatus | None:
        freshness = self._proofs.freshness
        if freshness.max_age_s is None:
            return None
        return edge_status.ProofStatus(
            age_s=self._proofs.age_s,
            max_age_s=freshness.max_age_s,
            source=self._proofs.source,
            keyed_calls_run=freshness.is_confirmed(self._proofs.now_s()),
        )

    def _account_statuses(
        self,
        accounts: Mapping[str, routing.Account],
        totals: Mapping[str, Mapping[str, int]],
        only: str,
    ) -> tuple[edge_status.AccountStatus, ...]:
        if only and only not in accounts:
            # Without the name, which may be a key that was given by mistake.
            raise where_accounts.UnknownAccountError(
                "no client account has this name"
            )
        by_use = sorted(
            [only] if only else accounts,
            key=lambda name: (
                -sum(_refused(totals.get(name, {})).values()),
                -sum(totals.get(name, {}).values()),
                name,
            ),
        )
        return tuple(
            self._account_status(accounts[name], totals.get(name, {}))
            for name in by_use[:MAX_ACCOUNTS]
        )

    def _account_status(
        self, account: routing.Account, counts: Mapping[str, int]
    ) -> edge_status.AccountStatus:
        held_tokens = None
        owners: tuple[edge_status.OwnerStatus, ...] = ()
        if self._usage is not None and account.calls_per_s:
            held_tokens = self._usage.held_tokens(account.name)
            owners = self._usage.owners(account.name)
        return edge_status.AccountStatus(
            name=account.name,
            calls_per_s=account.calls_per_s,
            burst_calls=account.burst_calls,
            admitted=counts.get(recent_calls.ADMITTED, 0),
            refused=_refused(counts),
            held_tokens=held_tokens,
            owners=owners,
        )


def _refused(counts: Mapping[str, int]) -> dict[str, int]:
    return {
        reason: count
        for reason, count in counts.items()
        if reason != recent_calls.ADMITTED
    }


def _service_statuses(
    services: Mapping[str, edge_status.ServiceStatus], only: str
) -> tuple[edge_status.ServiceStatus, ...]:
    if only:
        if only not in services:
            raise UnknownServiceError("this node knows no such service")
        return (services[only],)
    by_load = sorted(
        services.values(),
        key=lambda s: (-s.queued_calls, -(s.mean_utilization or 0), s.service),
    )
    return tuple(by_load[:MAX_SERVICES])
