"""The gateway: joins caller server, schedulers and agent client."""

import collections
import hashlib
import hmac
import itertools
import logging
import random
import time

import mode
import prometheus_client

from tanagerspoke import exceptions
from tanagerspoke.coordination import scheduling
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tanagerspoke.settings import options
from tanagerspoke.state import config
from tanagerspoke.state import declarations
from tanagerspoke.transport import admin_server
from tanagerspoke.transport import agent_link
from tanagerspoke.transport import caller_server
from tanagerspoke.transport import dispatcher
from tanagerspoke.transport import grpc_agent
from tanagerspoke.transport import keyed_writes
from tanagerspoke.transport import upstream_client

log = logging.getLogger(__name__)


class GatewayService(mode.Service):
    """One gateway process."""

    def __init__(self, *, cfg: options.Gateway) -> None:
        super().__init__()
        self._cfg = cfg
        self._snapshot = config.EMPTY
        self._dispatchers: dict[str, dispatcher.ServiceDispatcher] = {}
        self._upstreams: dict[str, tuple[upstreams.Upstream, ...]] = {}
        self._call_ids = itertools.count(1)
        self._rng = random.Random()
        self._client = upstream_client.UpstreamClient()
        self._agent = grpc_agent.AgentClient(
            endpoint=cfg.agent, shared_key=cfg.shared_key
        )
        self._link = agent_link.AgentLink(
            gateway_id=cfg.gateway_id,
            client=self._agent,
            on_update=self._take,
        )
        self._keyed_writes = keyed_writes.KeyedWrites(agent_client=self._agent)
        self._server = caller_server.CallerServer(cfg=cfg, serve=self.serve)
        self._registry = prometheus_client.CollectorRegistry()
        self._admin = admin_server.AdminServer(
            listen=cfg.admin,
            registry=self._registry,
            is_ready=lambda: self._snapshot.revision > 0,
        )

    async def on_start(self) -> None:
        """Opens the ports."""
        await self._client.start()
        await self._agent.start()
        await self.add_runtime_dependency(self._link)
        await self._admin.start()
        await self._server.start()
        log.info(
            "gateway_started",
            extra={"callers": f"{self._cfg.callers}"},
        )

    async def close(self) -> None:
        """Stops the tasks and closes the ports."""
        await self.stop()

    async def on_stop(self) -> None:
        """Closes the ports."""
        await self._server.close()
        await self._keyed_writes.close()
        for service in self._dispatchers.values():
            service.close()
        await self._admin.close()
        await self._agent.close()
        await self._client.close()

    def _take(self, update: agent.GatewayUpdate) -> None:
        """Takes an update that the agent sent."""
        match update:
            case agent.ConfigUpdate():
                self._snapshot = config.apply_update(
                    snapshot=self._snapshot, update=update
                )
                self._link.note_revision(self._snapshot.revision)
                log.info(
                    "config_in_force",
                    extra={"revision": self._snapshot.revision},
                )
            case agent.UpstreamsUpdate(upstreams=listed):
                self._take_upstreams(listed)
            case agent.DrainUpdate(upstream_ids=upstream_ids):
                for service in self._dispatchers.values():
                    for upstream_id in upstream_ids:
                        service.handle(
                            calls.DrainMarked(upstream_id=upstream_id)
                        )

    def _take_upstreams(self, listed: tuple[upstreams.Upstream, ...]) -> None:
        by_service: dict[str, list[upstreams.Upstream]] = (
            collections.defaultdict(list)
        )
        for upstream in listed:
            by_service[upstream.service].append(upstream)
        self._upstreams = {
            name: tuple(members) for name, members in by_service.items()
        }
        for name, service in self._dispatchers.items():
            service.set_upstreams(self._upstreams.get(name, ()))

    def _dispatcher(self, service: str) -> dispatcher.ServiceDispatcher:
        found = self._dispatchers.get(service)
        if found is not None:
            return found
        policy = self._snapshot.services[service]
        created = dispatcher.ServiceDispatcher(
            scheduler=scheduling.ServiceScheduler(
                availability_zone=self._cfg.place.availability_zone,
                pull_slot_share=policy.pull_slot_share,
                rng=self._rng,
            ),
            client=self._client,
            clock=time.monotonic,
            on_draining=self._link.note_draining,
        )
        created.set_upstreams(self._upstreams.get(service, ()))
        self._dispatchers[service] = created
        return created

    async def serve(
        self, request: caller_server.CallerRequest
    ) -> caller_server.CallerAnswer:
        """Answers one request of a caller.

        Raises:
            CallRefusedError: the call is proven not run.
            CallFailedError: the outcome of the call is unknown.
        """
        account, _, route = self._snapshot.route(
            client_account=request.client_account,
            service=request.service,
            method=request.method,
            path=request.path,
        )
        _check_token(account, request.token)
        now = time.monotonic()
        deadline_s = min(request.deadline_s or route.deadline_s, 600.0)
        call = calls.Call(
            call_id=next(self._call_ids),
            client_account=account.name,
            call_class=route.call_class,
            idempotent=route.idempotent,
            arrived_at=now,
            deadline=now + deadline_s,
            hedge=route.hedge,
        )
        if route.key_rule is declarations.KeyRule.NONE:
            return await self._run(call, request)
        return await self._keyed_writes.run(
            call=call, request=request, route=route, dispatch=self._run
        )

    async def _run(
        self, call: calls.Call, request: caller_server.CallerRequest
    ) -> caller_server.CallerAnswer:
        answer = await self._dispatcher(request.service).run(
            call=call,
            request=upstream_client.UpstreamRequest(
                request_id=request.request_id,
                client_account=request.client_account,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
            ),
        )
        return caller_server.CallerAnswer(
            answer=answer, outcome=errors.Outcome.RAN
        )


def _check_token(account: config.Account, token: str | None) -> None:
    if account.token_sha256 is None:
        return
    digest = hashlib.sha256((token or "").encode()).hexdigest()
    if not hmac.compare_digest(digest, account.token_sha256):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.UNAUTHORIZED,
            message="the bearer token is missing or wrong",
        )
