"""The gateway: connects caller server, schedulers and agent client."""

import asyncio
from collections.abc import Callable
import functools
import hashlib
import hmac
import logging
import random
import time

import mode
import prometheus_client

from tanagerspoke import exceptions
from tanagerspoke.coordination import lifecycle
from tanagerspoke.coordination import limits
from tanagerspoke.coordination import scheduling
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tanagerspoke.settings import options
from tanagerspoke.state import config
from tanagerspoke.state import declarations
from tanagerspoke.transport import keyed_writes
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import caller_server
from tanagerspoke.transport.operations import admin_server
from tanagerspoke.transport.operations import gateway_metrics
from tanagerspoke.transport.operations import graceful_stop
from tanagerspoke.transport.peers import agent_link
from tanagerspoke.transport.peers import grpc_agent
from tanagerspoke.transport.upstreams import dispatcher
from tanagerspoke.transport.upstreams import upstream_client
from tanagerspoke.transport.upstreams import upstream_dialect

log = logging.getLogger(__name__)

# Longest wait at the end of a stop for callers that read slowly.
_FLUSH_TIMEOUT_S = 10.0


class GatewayService(mode.Service):
    """The service of one gateway process."""

    def __init__(self, *, cfg: options.Gateway) -> None:
        super().__init__()
        self._cfg = cfg
        self._snapshot = config.EMPTY
        self._dispatchers: dict[str, dispatcher.ServiceDispatcher] = {}
        self._upstreams: dict[str, tuple[upstreams.Upstream, ...]] = {}
        self._service_by_upstream: dict[str, str] = {}
        self._gateway_count = 1
        self._keyed_write_tasks: set[
            asyncio.Task[caller_calls.CallerResponse]
        ] = set()
        # One limiter for each service and kind of call; the flag is true for
        # pulls, which have limits separate from those of lookups and writes.
        self._limiters: dict[tuple[str, bool], limits.AccountLimiter] = {}
        self._rng = random.Random()
        self._registry = prometheus_client.CollectorRegistry()
        self._metrics = gateway_metrics.GatewayMetrics(registry=self._registry)
        self._upstream_client = upstream_client.UpstreamClient(
            late_replies_watched=cfg.late_replies_watched,
            on_late=self._metrics.count_late_reply,
            on_lost=self._metrics.count_lost_reply,
        )
        self._agent_client = grpc_agent.AgentClient(
            endpoint=cfg.agent, shared_key=cfg.shared_key, tls=cfg.tls
        )
        self._keyed_writes = keyed_writes.KeyedWrites(
            agent_client=self._agent_client,
            early_refusal=self._refusal_before_claim,
        )
        self._agent_link = agent_link.AgentLink(
            gateway_id=cfg.gateway_id,
            client=self._agent_client,
            on_update=self._apply_update,
            on_reconnected=self._keyed_writes.retry_reports_now,
        )
        self._server = caller_server.CallerServer(
            listen=cfg.callers,
            limits=lambda: caller_calls.Limits(
                max_header_bytes=cfg.max_header_bytes,
                max_body_bytes=cfg.max_body_bytes,
            ),
            dialect=caller_calls.DefaultCallerDialect(),
            serve=self.serve,
            on_started=self._start_call,
            on_ended=self._end_call,
            is_stopping=lambda: not self._graceful_stop.is_ready,
        )
        self._graceful_stop = graceful_stop.GracefulStop(
            lame_duck_s=cfg.lame_duck_s,
            stop_deadline_s=cfg.stop_deadline_s,
            close_listeners=self._server.close_listeners,
        )
        self._admin = admin_server.AdminServer(
            listen=cfg.admin,
            registry=self._registry,
            is_ready=lambda: (
                self._snapshot.revision > 0
                and bool(self._upstreams)
                and self._graceful_stop.is_ready
            ),
        )

    async def on_start(self) -> None:
        """Connects to the agent and opens the ports."""
        await self._upstream_client.start()
        await self._agent_client.start()
        await self.add_runtime_dependency(self._agent_link)
        await self._admin.start()
        await self._server.start()
        log.info(
            "gateway_started",
            extra={"callers": f"{self._cfg.callers}"},
        )

    async def close(self) -> None:
        """Carries out the graceful stop, then closes the service."""
        await self._graceful_stop.run()
        if not self._graceful_stop.aborted_calls:
            await self._server.flush(timeout_s=_FLUSH_TIMEOUT_S)
        await self.stop()

    def force_stop(self) -> None:
        """Makes `close` stop waiting for calls; logs and aborts them."""
        self._graceful_stop.request()

    def _start_call(self, record: caller_calls.CallRecord) -> None:
        self._graceful_stop.call_started(
            lifecycle.RunningCall(
                call_id=record.call_id,
                client_account=record.client_account,
                service=record.service,
            )
        )

    def _end_call(self, record: caller_calls.CallRecord) -> None:
        self._metrics.count_call(record)
        if record.limiter is not None:
            record.limiter.release(client_account=record.client_account)
        self._graceful_stop.call_ended(record.call_id)

    async def on_stop(self) -> None:
        """Closes the ports, keyed writes, dispatchers and clients."""
        await self._server.close()
        await self._keyed_writes.close()
        for service_dispatcher in self._dispatchers.values():
            service_dispatcher.close()
        await self._admin.close()
        await self._agent_client.close()
        await self._upstream_client.close()

    def _apply_update(self, update: agent.GatewayUpdate) -> None:
        """Applies an update from the agent."""
        match update:
            case agent.ConfigUpdate():
                self._snapshot = config.apply_update(
                    snapshot=self._snapshot, update=update
                )
                self._agent_link.set_revision(self._snapshot.revision)
                self._metrics.config_revision.set(self._snapshot.revision)
                log.info(
                    "config_in_force",
                    extra={"revision": self._snapshot.revision},
                )
            case agent.UpstreamsUpdate(upstreams=listed):
                self._set_upstreams(listed)
            case agent.DrainUpdate(upstream_ids=upstream_ids):
                for service_dispatcher in self._dispatchers.values():
                    for upstream_id in upstream_ids:
                        service_dispatcher.handle(
                            calls.DrainMarked(upstream_id=upstream_id)
                        )
            case agent.LoadUpdate(reports=reports):
                for report in reports:
                    self._apply_load_report(report)
            case agent.FleetUpdate(gateways=gateways):
                self._set_gateway_count(gateways)

    def _apply_load_report(self, report: agent.ProbedLoad) -> None:
        service = self._service_by_upstream.get(report.upstream_id)
        service_dispatcher = (
            self._dispatchers.get(service) if service is not None else None
        )
        if service_dispatcher is not None:
            service_dispatcher.handle(
                calls.LoadReported(
                    upstream_id=report.upstream_id, load=report.load
                )
            )

    def _set_gateway_count(self, gateways: int) -> None:
        self._gateway_count = max(1, gateways)
        for service_dispatcher in self._dispatchers.values():
            service_dispatcher.set_gateways(self._gateway_count)
        for limiter in self._limiters.values():
            limiter.set_gateways(self._gateway_count)

    def _set_upstreams(self, listed: tuple[upstreams.Upstream, ...]) -> None:
        self._upstreams = upstreams.group_by_service(listed)
        self._service_by_upstream = {u.upstream_id: u.service for u in listed}
        for service, service_dispatcher in self._dispatchers.items():
            service_dispatcher.set_upstreams(self._upstreams.get(service, ()))

    def _get_or_create_dispatcher(
        self, service: str
    ) -> dispatcher.ServiceDispatcher:
        existing = self._dispatchers.get(service)
        if existing is not None:
            return existing
        policy = self._snapshot.services[service]
        created = dispatcher.ServiceDispatcher(
            scheduler=scheduling.ServiceScheduler(
                availability_zone=self._cfg.place.availability_zone,
                pull_slot_share=policy.pull_slot_share,
                rng=self._rng,
                gateways=self._gateway_count,
            ),
            client=self._upstream_client,
            clock=time.monotonic,
            on_draining=lambda upstream: self._agent_link.record_draining(
                upstream.upstream_id
            ),
            on_load_report=self._agent_link.record_load_report,
            on_dispatch=functools.partial(
                self._metrics.count_dispatch, service
            ),
        )
        self._metrics.watch_service(
            service=service,
            in_flight=lambda: created.in_flight,
            queue_length=created.queued,
        )
        created.set_upstreams(self._upstreams.get(service, ()))
        self._dispatchers[service] = created
        return created

    def serve(
        self,
        request: caller_calls.CallerRequest,
        on_done: caller_calls.OnDone,
    ) -> Callable[[], object]:
        """Starts a caller's request; see `caller_server.CallerServer`.

        Raises:
            CallRefusedError: the call has certainly not run.
        """
        record = request.record
        assert record is not None
        if self._graceful_stop.is_stopped:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.STOPPING,
                message="this gateway is stopping",
                retry_after_s=1.0,
            )
        account, account_service, route = self._snapshot.route(
            client_account=request.client_account,
            service=request.service,
            method=request.method,
            path=request.path,
        )
        _check_bearer_token(account, request.bearer_token)
        record.route = route
        # The caller's deadline can shorten the route's but not extend it.
        deadline_s = route.deadline_s
        if request.deadline_s is not None:
            deadline_s = min(deadline_s, request.deadline_s)
        record.deadline = record.started_at + deadline_s
        self._apply_limits(record, route.call_class, account_service.limits)
        # Creates the dispatcher before a claim is awaited, since the service
        # may be deleted from the configuration during the wait.
        self._get_or_create_dispatcher(request.service)
        call = calls.Call(
            call_id=record.call_id,
            client_account=account.name,
            call_class=route.call_class,
            idempotent=route.idempotent,
            arrived_at=record.started_at,
            deadline=record.deadline,
            hedge=route.hedge,
        )
        if route.key_rule is declarations.KeyRule.NONE:
            return self._start_without_claim(call, request, on_done)
        task = asyncio.get_running_loop().create_task(
            self._keyed_writes.run(
                call=call,
                request=request,
                route=route,
                dispatch=self._dispatch_write,
            )
        )
        self._keyed_write_tasks.add(task)
        task.add_done_callback(self._keyed_write_tasks.discard)
        task.add_done_callback(functools.partial(_report_task_result, on_done))
        return task.cancel

    def _apply_limits(
        self,
        record: caller_calls.CallRecord,
        call_class: calls.CallClass,
        declared_limits: config.Limits,
    ) -> None:
        """Counts the call against its account's limits until it ends.

        Raises:
            CallRefusedError: the client account is at one of its limits.
        """
        is_pull = call_class is calls.CallClass.PULL
        concurrency = (
            declared_limits.pull_concurrency
            if is_pull
            else declared_limits.concurrency
        )
        if declared_limits.rate_per_s is None and concurrency is None:
            return
        limiter_key = (record.service, is_pull)
        limiter = self._limiters.get(limiter_key)
        if limiter is None:
            limiter = limits.AccountLimiter(gateways=self._gateway_count)
            self._limiters[limiter_key] = limiter
        exceeded_limit = limiter.acquire(
            client_account=record.client_account,
            rate_per_s=declared_limits.rate_per_s,
            concurrency=concurrency,
            now=time.monotonic(),
        )
        if exceeded_limit is not None:
            raise exceptions.CallRefusedError(
                code=exceeded_limit.code,
                message=f"client account {record.client_account!r} is at its "
                f"limit for service {record.service!r}",
                retry_after_s=exceeded_limit.retry_after_s,
            )
        record.limiter = limiter

    def _refusal_before_claim(
        self, call: calls.Call, request: caller_calls.CallerRequest
    ) -> calls.Refuse | None:
        return self._get_or_create_dispatcher(request.service).would_refuse(
            call
        )

    async def _dispatch_write(
        self, call: calls.Call, request: caller_calls.CallerRequest
    ) -> caller_calls.CallerResponse:
        record = request.record
        assert record is not None
        record.dispatched = True
        try:
            resp = await self._get_or_create_dispatcher(request.service).run(
                call=call, request=self._upstream_request(call, request)
            )
        except exceptions.CallRefusedError:
            record.dispatched = False
            raise
        return caller_calls.CallerResponse(
            response=resp, outcome=errors.Outcome.RAN
        )

    def _start_without_claim(
        self,
        call: calls.Call,
        request: caller_calls.CallerRequest,
        on_done: caller_calls.OnDone,
    ) -> Callable[[], None]:
        """Starts a call that needs no claim; uses callbacks, not a task."""
        record = request.record
        assert record is not None

        def finish(
            resp: upstream_client.Response | None, exc: Exception | None
        ) -> None:
            if resp is not None:
                on_done(
                    caller_calls.CallerResponse(
                        response=resp, outcome=errors.Outcome.RAN
                    ),
                    None,
                )
                return
            if isinstance(exc, exceptions.CallRefusedError):
                record.dispatched = False
            on_done(None, exc)

        record.dispatched = True
        return self._get_or_create_dispatcher(request.service).start(
            call=call,
            request=self._upstream_request(call, request),
            on_done=finish,
        )

    def _upstream_request(
        self, call: calls.Call, request: caller_calls.CallerRequest
    ) -> upstream_dialect.UpstreamRequest:
        # The response of a write is buffered completely, even if it is long,
        # because it is recorded under the idempotency key.
        may_stream = call.call_class is not calls.CallClass.WRITE
        max_buffered_bytes = self._cfg.hold_answer_bytes
        if not may_stream:
            max_buffered_bytes = max(
                max_buffered_bytes, self._cfg.max_body_bytes
            )
        return upstream_dialect.UpstreamRequest(
            request_id=request.request_id,
            client_account=request.client_account,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            service=request.service,
            depth=request.depth,
            max_buffered_bytes=max_buffered_bytes,
            may_stream=may_stream,
        )


def _report_task_result(
    on_done: caller_calls.OnDone,
    task: asyncio.Task[caller_calls.CallerResponse],
) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is None:
        on_done(task.result(), None)
    elif isinstance(exc, Exception):
        on_done(None, exc)


def _check_bearer_token(
    account: config.Account, bearer_token: str | None
) -> None:
    if account.token_sha256 is None:
        return
    digest = hashlib.sha256((bearer_token or "").encode()).hexdigest()
    if not hmac.compare_digest(digest, account.token_sha256):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.UNAUTHORIZED,
            message="the bearer token is missing or wrong",
        )
