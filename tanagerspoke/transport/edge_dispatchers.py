"""The schedulers and dispatchers of an edge, one of each for a service."""

from collections.abc import Callable, Mapping
import functools
import logging
import random
import time

from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import retry_budget
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.coordination import service_status
from tanagerspoke.coordination.cold_upstreams import cold_gate
from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.coordination.fair_shares import service_shares
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import edge_status
from tanagerspoke.protocol import upstreams
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import edge
from tanagerspoke.state import routes
from tanagerspoke.transport.operations import call_traces
from tanagerspoke.transport.operations import edge_metrics
from tanagerspoke.transport.upstreams import dispatcher
from tanagerspoke.transport.upstreams import upstream_client

log = logging.getLogger(__name__)

# Share of the allowed probe rate that the edge uses.
_PROBE_RATE_SHARE = 0.5
# Latency added to the cost of an upstream in another availability zone:
# traffic between zones is slower and is billed by the byte.
_CROSS_ZONE_PENALTY_S = 0.03


class EdgeDispatchers:
    """Creates a service's dispatcher for its first call, and updates all.

    Attributes:
        has_upstream_list: whether any list of upstreams was received.
    """

    def __init__(
        self,
        *,
        cfg: edge.Edge,
        routing: routes.RouteState,
        client: upstream_client.UpstreamClient,
        key_gate: dispatch_gate.DispatchGate,
        metrics: edge_metrics.EdgeMetrics,
        traces: call_traces.CallTraces,
        rng: random.Random,
        rates: account_rates.AccountRates,
        on_leaving: Callable[[upstreams.Upstream], None],
    ) -> None:
        """Creates an instance without upstreams.

        Args:
            cfg: settings of this node.
            routing: services of the configuration in force.
            client: sends requests and probes.
            key_gate: checks the key of each attempt.
            metrics: metrics of this node.
            traces: traces of the running calls.
            rng: random number generator.
            rates: usual rates of the client accounts.
            on_leaving: called with an upstream that stated in a response that
                it is leaving.
        """
        self._cfg = cfg
        self._routes = routing
        self._upstream_client = client
        self._key_gate = key_gate
        self._metrics = metrics
        self._call_traces = traces
        self._rng = rng
        self._account_rates = rates
        self._on_leaving = on_leaving
        self._started_at = time.monotonic()
        self._upstreams: dict[str, tuple[upstreams.Upstream, ...]] = {}
        self._cold_until: Mapping[str, float] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self.has_upstream_list = False
        self._node_names: frozenset[str] | None = None
        self._node_count: int | None = None
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self._schedulers: dict[str, route_scheduling.RouteScheduler] = {}
        self._dispatchers: dict[str, dispatcher.ServiceDispatcher] = {}

    def set_options(self, cfg: edge.Edge) -> None:
        """Applies changed settings."""
        self._cfg = cfg
        for budget in self._retry_budgets.values():
            budget.set_bounds(
                ratio=cfg.retry_budget.ratio,
                shared_extra=cfg.retry_budget.shared_extra,
                window_s=cfg.retry_budget.window_s,
            )
        for scheduler in self._schedulers.values():
            scheduler.set_hedge_share(cfg.hedge_share)

    def close(self) -> None:
        """Closes the dispatchers."""
        for service_dispatcher in self._dispatchers.values():
            service_dispatcher.close()

    def set_upstreams(
        self,
        listed: tuple[upstreams.Upstream, ...],
        cold_until: Mapping[str, float],
    ) -> None:
        """Sets all upstreams, with the end of the cold time of cold ones."""
        self._cold_until = cold_until
        before = self._upstreams
        self._upstreams = upstreams.group_by_service(listed)
        self.has_upstream_list = True
        for service in before.keys() | self._upstreams.keys():
            self._log_upstream_changes(
                service,
                before.get(service, ()),
                self._upstreams.get(service, ()),
            )
        for service, service_dispatcher in self._dispatchers.items():
            service_dispatcher.set_upstreams(
                self._upstreams.get(service, ()), cold_until
            )

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Sets all evacuated zones."""
        self._evacuated_zones = zones
        self._metrics.evacuated_zones.set(len(zones))
        for service_dispatcher in self._dispatchers.values():
            service_dispatcher.set_evacuated_zones(zones)

    def set_nodes(self, nodes: tuple[zone_feed.Node, ...] | None) -> None:
        """Sets the listed nodes; None while this node is not listed."""
        self._node_names = (
            None if nodes is None else frozenset(node.name for node in nodes)
        )
        self._set_node_count(None if nodes is None else len(nodes))

    def _set_node_count(self, nodes: int | None) -> None:
        if nodes == self._node_count:
            return
        log.info("nodes_changed", extra={"nodes": nodes})
        self._node_count = nodes
        self._account_rates.set_nodes(nodes or 1)
        for budget in self._retry_budgets.values():
            budget.set_nodes(nodes)
        for service_dispatcher in self._dispatchers.values():
            service_dispatcher.set_gateways(nodes or 1)

    def get_or_create(self, service: str) -> dispatcher.ServiceDispatcher:
        """Returns the dispatcher of a service."""
        existing = self._dispatchers.get(service)
        if existing is not None:
            return existing
        budget = self._new_retry_budget()
        self._retry_budgets[service] = budget
        shares = service_shares.ServiceShares(rates=self._account_rates)
        self._metrics.accounts.watch_service(shares)
        scheduler = self._new_scheduler(service, budget, self._rng, shares)
        self._schedulers[service] = scheduler
        created = dispatcher.ServiceDispatcher(
            scheduler=scheduler,
            client=self._upstream_client,
            clock=time.monotonic,
            on_draining=self._on_leaving,
            health_path=functools.partial(self._health_path, service),
            on_dispatch=functools.partial(
                self._call_traces.record_dispatch, service
            ),
            on_attempt_ended=self._call_traces.record_attempt_end,
            on_ejected=functools.partial(self._record_ejection, service),
        )
        self._metrics.watch_service(
            service=service,
            in_flight=lambda: created.in_flight,
            queue_length=lambda: scheduler.queue_length,
            retry_budget_left=lambda: budget.remaining(time.monotonic()),
            hedges_left=lambda: scheduler.hedges_left,
            cold_upstreams=lambda: scheduler.cold_count(time.monotonic()),
        )
        created.set_evacuated_zones(self._evacuated_zones)
        created.set_upstreams(
            self._upstreams.get(service, ()), self._cold_until
        )
        self._dispatchers[service] = created
        return created

    def scheduler_to_explain(
        self, service: str
    ) -> route_scheduling.RouteScheduler:
        """Returns a service's scheduler, a new one if it had no call yet."""
        existing = self._schedulers.get(service)
        if existing is not None:
            return existing
        scheduler = self._new_scheduler(
            service,
            self._new_retry_budget(),
            random.Random(),
            service_shares.ServiceShares(rates=self._account_rates),
        )
        listed = self._upstreams.get(service, ())
        for event in (
            calls.ZonesEvacuated(zones=self._evacuated_zones),
            calls.UpstreamsChanged(
                upstreams=listed, cold_until=self._cold_until
            ),
        ):
            scheduler.handle(event=event, now=time.monotonic())
        return scheduler

    def describe(self, service: str) -> edge_status.ServiceStatus:
        """Returns the load and queue of a service; changes no state."""
        scheduler = self.scheduler_to_explain(service)
        return service_status.describe(
            service=service,
            view=scheduler.view,
            queued_calls=scheduler.queue_length,
            now=time.monotonic(),
        )

    def describe_all(self) -> dict[str, edge_status.ServiceStatus]:
        """Returns the load and queue of each service."""
        names = self._upstreams.keys() | self._schedulers.keys()
        if self._routes.table is not None:
            names |= self._routes.table.services.keys()
        return {service: self.describe(service) for service in sorted(names)}

    def _new_scheduler(
        self,
        service: str,
        budget: retry_budget.RetryBudget,
        rng: random.Random,
        shares: service_shares.ServiceShares,
    ) -> route_scheduling.RouteScheduler:
        scheduler = route_scheduling.RouteScheduler(
            availability_zone=self._cfg.availability_zone,
            cross_zone_penalty_s=_CROSS_ZONE_PENALTY_S,
            budget=budget,
            probes=probe_rounds.ProbeRounds(
                availability_zone=self._cfg.availability_zone,
                rate_per_upstream_s=(
                    _PROBE_RATE_SHARE * self._cfg.probes_per_upstream_s
                ),
            ),
            rng=rng,
            nodes=self._node_count or 1,
            node=self._cfg.node,
            gate=dispatch_gate.CombinedGate(
                parts=(
                    self._key_gate,
                    *self._cold_gates(
                        service, lambda *args: scheduler.is_cold(*args)
                    ),
                )
            ),
            hedge_share=self._cfg.hedge_share,
            limits_cold=lambda: self._cold_calls_per_s(service) > 0.0,
            shares=shares,
        )
        return scheduler

    def _cold_gates(
        self,
        service: str,
        is_cold: Callable[[upstreams.Upstream, float], bool],
    ) -> tuple[dispatch_gate.DispatchGate, ...]:
        """Returns the parts of a service's gate that limit cold upstreams."""
        if self._cfg.cold_upstreams is None:
            return ()
        return (
            cold_gate.ColdUpstreamGate(
                node=self._cfg.node,
                nodes=lambda: self._node_names,
                calls_per_s=functools.partial(self._cold_calls_per_s, service),
                is_cold=is_cold,
            ),
        )

    def _cold_calls_per_s(self, service: str) -> float:
        if self._cfg.cold_upstreams is None or self._routes.table is None:
            return 0.0
        declared = self._routes.table.services.get(service)
        return declared.cold_calls_per_s if declared is not None else 0.0

    def _health_path(self, service: str) -> str:
        declared = self._routes.table.services.get(service)
        return declared.health_path if declared is not None else "/"

    def _new_retry_budget(self) -> retry_budget.RetryBudget:
        bounds = self._cfg.retry_budget
        shared_extra_from = self._started_at
        if not self._cfg.first_start:
            # An earlier process of this node may have used the node's part of
            # the shared extra within the current window.
            shared_extra_from += bounds.window_s
        return retry_budget.RetryBudget(
            ratio=bounds.ratio,
            shared_extra=bounds.shared_extra,
            window_s=bounds.window_s,
            shared_extra_from=shared_extra_from,
            nodes=self._node_count,
        )

    def _log_upstream_changes(
        self,
        service: str,
        before: tuple[upstreams.Upstream, ...],
        after: tuple[upstreams.Upstream, ...],
    ) -> None:
        if before == after:
            return
        old_ids = {u.upstream_id for u in before}
        new_ids = {u.upstream_id for u in after}
        log.info(
            "upstreams_changed",
            extra={
                "service": service,
                "added": sorted(new_ids - old_ids),
                "removed": sorted(old_ids - new_ids),
                "leaving": sorted(u.upstream_id for u in after if u.leaving),
                "listed": len(after),
            },
        )

    def _record_ejection(
        self, service: str, action: calls.ReportEjection
    ) -> None:
        self._metrics.count_ejection(service)
        # Not rate-limited: an ejection follows three failures in a row, so
        # these lines are rare.
        log.warning(
            "upstream_ejected",
            extra={
                "service": service,
                "upstream": action.upstream_id,
                "for_s": round(action.duration_s, 3),
            },
        )
