"""The edge: routes callers' requests by the configuration in a store."""

from collections.abc import Callable
import dataclasses
import logging
import random
import time

import mode
import prometheus_client

from tanagerspoke import exceptions
from tanagerspoke.coordination import lifecycle
from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.coordination.accounts import recent_calls
from tanagerspoke.coordination.caller_memory import limits as memory_limits
from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import upstreams
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import edge
from tanagerspoke.settings import options
from tanagerspoke.state import routes
from tanagerspoke.transport import edge_calls
from tanagerspoke.transport import edge_dispatchers
from tanagerspoke.transport import suspend_clock
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import caller_server
from tanagerspoke.transport.callers import key_access
from tanagerspoke.transport.callers import memory_guard
from tanagerspoke.transport.operations import admin_server
from tanagerspoke.transport.operations import call_log
from tanagerspoke.transport.operations import call_traces
from tanagerspoke.transport.operations import edge_metrics
from tanagerspoke.transport.operations import graceful_stop
from tanagerspoke.transport.operations import log_limit
from tanagerspoke.transport.operations import refusal_facts
from tanagerspoke.transport.operations import status_service
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.operations import where_accounts
from tanagerspoke.transport.operations import where_service
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import freshness_queries
from tanagerspoke.transport.peers import usage_service
from tanagerspoke.transport.peers import zone_feed_service
from tanagerspoke.transport.store import store_source
from tanagerspoke.transport.upstreams import upstream_client
from tanagerspoke.transport.upstreams import upstream_dialect

log = logging.getLogger(__name__)

# The platform's load balancer checks readiness every second and opens new
# connections until two checks have failed.
_LAME_DUCK_S = 2.6
# Part of the stop's grace period that is reserved for the last responses to
# reach their callers.
_RESPONSE_FLUSH_RESERVE_S = 0.4
_FLUSH_TIMEOUT_S = 0.2
_CONFIG_PROBLEM_LOG_LINES_PER_S = 2.0
_CONFIG_PROBLEM_LOG_BURST_LINES = 40
# The settings file is polled because it may change without a signal.
_SETTINGS_POLL_INTERVAL_S = 1.0
# Limits that apply until the first configuration is received.
_INITIAL_LIMITS = caller_calls.Limits(
    max_header_bytes=16_384, max_body_bytes=67_108_864, idle_timeout_s=15.0
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Adapter:
    """Dialects, store and readiness path of the edge's platform."""

    callers: caller_calls.CallerDialect
    upstreams: upstream_dialect.UpstreamDialect
    store: store_source.StoreSource
    readiness_path: str


class EdgeService(mode.Service):
    """The service of one edge process."""

    def __init__(
        self,
        *,
        cfg: edge.Edge,
        adapter: Adapter,
        load_settings: Callable[[], edge.Edge],
    ) -> None:
        """Creates the service.

        Args:
            cfg: settings at the start of the process.
            adapter: connects the edge to the platform.
            load_settings: reads the settings again; raises `SettingsError`.
        """
        super().__init__()
        self._cfg = cfg
        self._load_settings = load_settings
        self._rng = random.Random()
        self._routes = routes.RouteState(rng=self._rng)
        self._limits = _INITIAL_LIMITS
        self._recent_calls = recent_calls.RecentCalls()
        self._settings_error = ""
        self._config_problem_log_limit = log_limit.LogLimit(
            event="config_problem",
            rate_per_s=_CONFIG_PROBLEM_LOG_LINES_PER_S,
            burst=_CONFIG_PROBLEM_LOG_BURST_LINES,
        )
        registry = prometheus_client.CollectorRegistry()
        self._metrics = edge_metrics.EdgeMetrics(registry=registry)
        self._account_rates = account_rates.AccountRates()
        self._metrics.accounts.watch_rates(self._account_rates)
        self._call_traces = call_traces.CallTraces(
            metrics=self._metrics,
            log=call_log.CallLog(
                facts=lambda record: self._refusal_facts.describe(record)
            ),
        )
        self._upstream_client = upstream_client.UpstreamClient(
            dialect=adapter.upstreams, late_replies_watched=0
        )
        self._proofs = config_proofs.ConfigProofs(
            bound_s=_revocation_bound_s(cfg), clock=suspend_clock.now_s
        )
        self._keys = key_access.KeyAccess(
            config_freshness=self._proofs.freshness, clock=self._proofs.now_s
        )
        self._dispatchers = edge_dispatchers.EdgeDispatchers(
            cfg=cfg,
            routing=self._routes,
            client=self._upstream_client,
            key_gate=self._keys.gate,
            metrics=self._metrics,
            traces=self._call_traces,
            rng=self._rng,
            rates=self._account_rates,
            on_leaving=self._mark_leaving,
        )
        self._usage: usage_service.UsageService | None = None
        if cfg.usage_limits is not None:
            self._usage = usage_service.UsageService(
                cfg=cfg, metrics=self._metrics.usage, rng=self._rng
            )
            self._metrics.watch_control_bytes(
                kind="usage", read_total=lambda: self._usage.exchanged_bytes
            )
        self._refusal_facts = refusal_facts.RefusalFacts(
            node=cfg.node,
            keys=self._keys,
            proofs=self._proofs,
            usage=self._usage,
            describe_service=self._dispatchers.describe,
        )
        self._zone_feed = zone_feed_service.ZoneFeedService(
            cfg=cfg,
            source=adapter.store,
            proofs=self._proofs,
            on_routing=self._apply_routing_table,
            on_upstreams=self._dispatchers.set_upstreams,
            on_nodes=self._set_nodes,
            on_zones=self._dispatchers.set_evacuated_zones,
            on_store_call=self._metrics.count_store_call,
            on_unreadable_row=self._metrics.unreadable_rows.inc,
        )
        self._freshness_queries = freshness_queries.FreshnessQueries(
            cfg=cfg,
            proofs=self._proofs,
            has_accounts=lambda: self._keys.has_accounts,
            followed_node=lambda: self._zone_feed.followed_node,
            nodes=lambda: self._zone_feed.nodes,
            fetch_newer=self._zone_feed.fetch_routing,
        )
        self._metrics.watch_config_proof(read_age_s=self._proof_age_s)
        self._metrics.watch_control_bytes(
            kind="freshness",
            read_total=lambda: self._freshness_queries.exchanged_bytes,
        )
        self._metrics.watch_control_bytes(
            kind="store", read_total=lambda: adapter.store.exchanged_bytes
        )
        self._metrics.watch_control_bytes(
            kind="news", read_total=lambda: self._zone_feed.exchanged_bytes
        )
        self._memory_guard = memory_guard.MemoryGuard(
            memory_limits=memory_limits.memory_limits(cfg.memory_bytes),
            on_closed=self._metrics.closed_for_memory.inc,
        )
        self._metrics.watch_caller_memory(lambda: self._memory_guard.used_bytes)
        self._graceful_stop = graceful_stop.GracefulStop(
            lame_duck_s=min(_LAME_DUCK_S, cfg.stop_grace_s / 2),
            stop_deadline_s=max(
                0.0, cfg.stop_grace_s - _RESPONSE_FLUSH_RESERVE_S
            ),
            close_listeners=lambda: self._server.close_listeners(),
        )
        self._calls = edge_calls.EdgeCalls(
            cfg=cfg,
            routing=self._routes,
            keys=self._keys,
            usage=self._usage,
            dispatchers=self._dispatchers,
            stop=self._graceful_stop,
            rates=self._account_rates,
        )
        self._server = caller_server.CallerServer(
            listen=cfg.callers,
            limits=lambda: self._limits,
            dialect=adapter.callers,
            serve=self._calls.serve,
            on_started=self._start_call,
            on_ended=self._end_call,
            is_stopping=lambda: not self._graceful_stop.is_ready,
            on_headers=self._calls.check_key,
            reads_keys=lambda: self._keys.has_accounts,
            guard=self._memory_guard,
            max_connections=memory_limits.max_connections(cfg.max_descriptors),
        )
        self._readiness = admin_server.AdminServer(
            listen=cfg.readiness,
            registry=registry,
            is_ready=self._is_ready,
            ready_path=adapter.readiness_path,
        )
        where = where_service.WhereService(
            node=cfg.node,
            config_version=lambda: (
                self._routes.table.version if self._routes.table else None
            ),
            find_route=self._calls.find_route,
            accounts=where_accounts.AccountExplainer(
                keys=self._keys, proofs=self._proofs, usage=self._usage
            ),
            new_call=self._calls.new_call,
            scheduler=self._dispatchers.scheduler_to_explain,
            clock=time.monotonic,
        )
        status = status_service.StatusService(
            node=cfg.node,
            availability_zone=cfg.availability_zone,
            is_ready=self._is_ready,
            routing_state=self._routes,
            feed=self._zone_feed,
            proofs=self._proofs,
            usage=self._usage,
            recent=self._recent_calls,
            services=self._dispatchers.describe_all,
            clock=time.monotonic,
        )
        self._admin = admin_server.AdminServer(
            listen=options.Endpoint(
                address=cfg.callers.address, port=cfg.metrics_port
            ),
            registry=registry,
            is_ready=self._is_ready,
            handlers={
                where_service.PATH: where.serve,
                status_service.PATH: status.serve,
            },
        )

    @property
    def follows_zone_feed(self) -> bool:
        """Whether another node of the zone reads the store for this one."""
        return self._zone_feed.is_following

    async def on_start(self) -> None:
        """Starts the zone feed and opens the ports."""
        await self._upstream_client.start()
        if self._usage is not None:
            await self._usage.start()
        await self.add_runtime_dependency(self._zone_feed)
        await self.add_runtime_dependency(self._freshness_queries)
        await self._readiness.start()
        await self._admin.start()
        await self._server.start()
        log.info(
            "edge_started",
            extra={
                "node": self._cfg.node,
                "zone": self._cfg.availability_zone,
                "first_start": self._cfg.first_start,
            },
        )

    async def close(self) -> None:
        """Carries out the graceful stop, then closes the service."""
        await self._graceful_stop.run()
        await self._server.flush(timeout_s=_FLUSH_TIMEOUT_S)
        await self.stop()
        log.info(
            "edge_stopped", extra={"cut": self._graceful_stop.aborted_calls}
        )

    def force_stop(self) -> None:
        """Makes `close` stop waiting for calls; logs and aborts them."""
        self._graceful_stop.request()

    def reload(self) -> None:
        """Reads the settings again; keeps the old ones if that fails.

        Changes of addresses and of the stop's grace period have no effect
        until the process is restarted.
        """
        self._reload_settings(is_requested=True)

    def _reload_settings(self, *, is_requested: bool) -> None:
        try:
            cfg = self._load_settings()
        except exceptions.SettingsError as exc:
            if is_requested or str(exc) != self._settings_error:
                log.error("settings_not_reloaded", extra={"error": str(exc)})
            self._settings_error = str(exc)
            return
        self._settings_error = ""
        if cfg == self._cfg and not is_requested:
            return
        changed = [
            field.name
            for field in dataclasses.fields(cfg)
            if getattr(cfg, field.name) != getattr(self._cfg, field.name)
        ]
        self._cfg = cfg
        self._zone_feed.set_options(cfg)
        self._proofs.freshness.set_bound(_revocation_bound_s(cfg))
        self._freshness_queries.set_options(cfg)
        if self._usage is not None:
            self._usage.set_options(cfg)
        self._memory_guard.set_limits(
            memory_limits.memory_limits(cfg.memory_bytes)
        )
        self._dispatchers.set_options(cfg)
        self._calls.set_options(cfg)
        log.info("settings_reloaded", extra={"changed": changed})

    @mode.Service.task
    @supervision.restarted
    async def _watch_settings(self) -> None:
        while not self.should_stop:
            await self.sleep(_SETTINGS_POLL_INTERVAL_S)
            self._reload_settings(is_requested=False)

    async def on_stop(self) -> None:
        """Closes the ports, dispatchers and upstream connections."""
        await self._server.close()
        if self._usage is not None:
            self._usage.close()
        self._dispatchers.close()
        await self._readiness.close()
        await self._admin.close()
        await self._upstream_client.close()

    def _is_ready(self) -> bool:
        return (
            self._routes.table is not None
            and self._dispatchers.has_upstream_list
            and self._graceful_stop.is_ready
        )

    def _apply_routing_table(self, table: routing.RoutingTable) -> None:
        if not self._routes.apply(table):
            return
        self._calls.keep_routes(frozenset(route.name for route in table.routes))
        self._keys.apply(table)
        self._account_rates.apply(table.accounts, time.monotonic())
        self._metrics.accounts.set_accounts(table.accounts or ())
        self._freshness_queries.notify_accounts()
        if self._usage is not None:
            self._usage.set_accounts(table.accounts)
        limits = table.limits
        if limits is not None:
            self._limits = caller_calls.Limits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                header_timeout_s=limits.header_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        self._metrics.config_version.set(table.version)
        self._metrics.unusable_routes.set(len(table.unusable_routes))
        log.info(
            "config_in_force",
            extra={
                "version": table.version,
                "routes": len(table.routes),
                "unusable_routes": len(table.unusable_routes),
            },
        )
        for problem in table.problems:
            if self._config_problem_log_limit.try_acquire(problem.part):
                log.error(
                    "config_problem",
                    extra={
                        "version": table.version,
                        "part": problem.part,
                        "name_in_config": problem.name,
                        "problem": problem.problem,
                    },
                )

    def _mark_leaving(self, upstream: upstreams.Upstream) -> None:
        # Also if it is no longer listed: a delayed write may list it again.
        is_news = self._zone_feed.mark_leaving(
            zone_feed.LeavingUpstream(
                upstream_id=upstream.upstream_id,
                started_ms=upstream.started_ms,
            )
        )
        if is_news:
            log.info(
                "upstream_leaving",
                extra={
                    "service": upstream.service,
                    "upstream": upstream.upstream_id,
                },
            )

    def _set_nodes(self, nodes: tuple[zone_feed.Node, ...] | None) -> None:
        self._dispatchers.set_nodes(nodes)
        if self._usage is not None:
            # Owners ignore the requests of a node that is not listed.
            self._usage.set_nodes(nodes or ())

    def _proof_age_s(self) -> float | None:
        if self._cfg.revocation is None or not self._keys.has_accounts:
            return None
        return self._proofs.age_s

    def _start_call(self, record: caller_calls.CallRecord) -> None:
        self._call_traces.start(record)
        self._graceful_stop.call_started(
            lifecycle.RunningCall(
                call_id=record.call_id, client_account="", service=""
            )
        )

    def _end_call(self, record: caller_calls.CallRecord) -> None:
        self._call_traces.end(record)
        if self._keys.has_accounts:
            # A malformed request may name an account of its own.
            account = self._keys.find_account(record.client_account)
            self._recent_calls.count(
                "" if account is None else account.name,
                recent_calls.result_of(
                    record.code or "ok",
                    rejection=authentication.rejection_reason(
                        record.code or "ok", record.rejection
                    ),
                    dispatched=record.dispatched,
                ),
                time.monotonic(),
            )
        self._graceful_stop.call_ended(record.call_id)


def _revocation_bound_s(cfg: edge.Edge) -> float | None:
    return None if cfg.revocation is None else cfg.revocation.bound_s
