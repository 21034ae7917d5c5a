"""gRPC between a gateway and the agent of its host."""

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import grpc.aio

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import codec
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import grpc_security
from tanagerspoke.transport.peers import grpc_server

_subscribe_request_decoder = codec.Decoder(message_type=agent.SubscribeRequest)
_update_decoder = codec.Decoder(message_type=agent.GatewayUpdate)
_claim_request_decoder = codec.Decoder(message_type=agent.ClaimRequest)
_claim_reply_decoder = codec.Decoder(message_type=agent.ClaimReply)
_complete_request_decoder = codec.Decoder(message_type=agent.CompleteRequest)
_observe_request_decoder = codec.Decoder(message_type=agent.ObserveRequest)


class AgentHandler(Protocol):
    """Handles the requests of gateways."""

    def subscribe(
        self, request: agent.SubscribeRequest
    ) -> AsyncIterator[agent.GatewayUpdate]:
        """Yields the full state, then every change, until the call ends."""

    async def claim(self, request: agent.ClaimRequest) -> agent.ClaimReply:
        """Claims the right to run a write."""

    async def complete(
        self, request: agent.CompleteRequest
    ) -> agent.CompleteReply:
        """Records the result of a claimed write."""

    async def observe(
        self, request: agent.ObserveRequest
    ) -> agent.ObserveReply:
        """Records a gateway's observations."""


def create_agent_server(
    *,
    listen: options.Endpoint,
    shared_key: str,
    handler: AgentHandler,
    tls: options.Tls | None = None,
    on_rejected: Callable[[str], None] = grpc_security.ignore_rejection,
) -> grpc_server.GrpcServer:
    """Returns a server, not started, for the gateways of this host."""
    return grpc_server.GrpcServer(
        service=agent.SERVICE,
        methods={
            "Subscribe": grpc_server.StreamMethod(
                decoder=_subscribe_request_decoder, handle=handler.subscribe
            ),
            "Claim": grpc_server.UnaryMethod(
                decoder=_claim_request_decoder, handle=handler.claim
            ),
            "Complete": grpc_server.UnaryMethod(
                decoder=_complete_request_decoder, handle=handler.complete
            ),
            "Observe": grpc_server.UnaryMethod(
                decoder=_observe_request_decoder, handle=handler.observe
            ),
        },
        listen=listen,
        shared_key=shared_key,
        tls=tls,
        on_rejected=on_rejected,
    )


class AgentClient:
    """A gateway's connection to the agent of its host.

    Every call raises `AgentUnavailableError` if the agent does not reply or
    rejects the request, and `ProtocolError` if a reply is malformed.
    """

    def __init__(
        self,
        *,
        endpoint: options.Endpoint,
        shared_key: str,
        tls: options.Tls | None = None,
    ) -> None:
        self._target = f"{endpoint.address}:{endpoint.port}"
        self._metadata = grpc_security.call_metadata(shared_key)
        self._tls = tls
        self._channel: grpc.aio.Channel | None = None

    async def start(self) -> None:
        """Opens the channel; it connects when first used."""
        self._channel = grpc_security.create_channel(
            target=self._target, tls=self._tls
        )

    async def close(self) -> None:
        """Closes the channel."""
        if self._channel is not None:
            await self._channel.close()
            self._channel = None

    async def subscribe(
        self, request: agent.SubscribeRequest
    ) -> AsyncIterator[agent.GatewayUpdate]:
        """Yields updates until the agent ends the subscription."""
        if self._channel is None:
            raise exceptions.AgentUnavailableError("channel is closed")
        method = self._channel.unary_stream(f"/{agent.SERVICE}/Subscribe")
        try:
            async for data in method(
                codec.encode(request), metadata=self._metadata
            ):
                yield _update_decoder.decode(data)
        except grpc.aio.AioRpcError as exc:
            raise _unavailable_error(exc) from exc

    async def claim(
        self, request: agent.ClaimRequest, *, timeout_s: float
    ) -> agent.ClaimReply:
        """Claims the right to run a write."""
        data = await self._call("Claim", request, timeout_s)
        return _claim_reply_decoder.decode(data)

    async def complete(
        self, request: agent.CompleteRequest, *, timeout_s: float
    ) -> None:
        """Reports the result of a claimed write."""
        await self._call("Complete", request, timeout_s)

    async def observe(
        self, request: agent.ObserveRequest, *, timeout_s: float
    ) -> None:
        """Reports the observations of this gateway."""
        await self._call("Observe", request, timeout_s)

    async def _call(
        self, method_name: str, request: Any, timeout_s: float
    ) -> bytes:
        if self._channel is None:
            raise exceptions.AgentUnavailableError("channel is closed")
        method = self._channel.unary_unary(f"/{agent.SERVICE}/{method_name}")
        try:
            return await method(
                codec.encode(request),
                metadata=self._metadata,
                timeout=timeout_s,
            )
        except grpc.aio.AioRpcError as exc:
            raise _unavailable_error(exc) from exc


def _unavailable_error(
    exc: grpc.aio.AioRpcError,
) -> exceptions.AgentUnavailableError:
    return exceptions.AgentUnavailableError(
        f"{exc.code().name}: {exc.details()}"
    )
