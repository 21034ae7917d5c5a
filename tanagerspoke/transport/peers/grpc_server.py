"""Server of one gRPC service."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
import dataclasses
from typing import Any, TypeAlias

import grpc
import grpc.aio

from tanagerspoke import exceptions
from tanagerspoke.protocol import codec
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import grpc_security

# Time that running calls have to end when the port closes.
_STOP_GRACE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnaryMethod:
    """A method with one reply.

    Attributes:
        decoder: decodes and validates the request.
        handle: returns the reply; raises `ProtocolError` to reject the request.
        on_completed: called with the size of the request and reply together.
    """

    decoder: codec.Decoder
    handle: Callable[[Any], Awaitable[Any]]
    on_completed: Callable[[int], None] = lambda size_bytes: None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamMethod:
    """A method with a stream of replies.

    Attributes:
        decoder: decodes and validates the request.
        handle: yields the replies.
    """

    decoder: codec.Decoder
    handle: Callable[[Any], AsyncIterator[Any]]


RpcMethod: TypeAlias = UnaryMethod | StreamMethod


class GrpcServer:
    """Serves the methods of one service, with mutual TLS if configured.

    Requests that are malformed or lack the shared key are rejected.
    """

    def __init__(
        self,
        *,
        service: str,
        methods: Mapping[str, RpcMethod],
        listen: options.Endpoint,
        shared_key: str,
        tls: options.Tls | None,
        on_rejected: Callable[[str], None],
    ) -> None:
        """Creates a server that is not started.

        Args:
            service: name of the service.
            methods: methods by name.
            listen: endpoint to listen on.
            shared_key: key that the metadata of each call must carry.
            tls: certificate files, None to serve without TLS.
            on_rejected: called with the reason of each rejected request.
        """
        self._service = service
        self._methods = methods
        self._listen = listen
        self._shared_key = shared_key
        self._tls = tls
        self._on_rejected = on_rejected
        self._server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Opens the port."""
        handlers = {
            name: self._create_handler(method)
            for name, method in self._methods.items()
        }
        self._server = grpc.aio.server()
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(self._service, handlers),)
        )
        grpc_security.add_port(
            server=self._server, listen=self._listen, tls=self._tls
        )
        await self._server.start()

    async def close(self) -> None:
        """Closes the port and gives running calls a short time to end."""
        if self._server is not None:
            await self._server.stop(grace=_STOP_GRACE_S)
            self._server = None

    def _create_handler(self, method: RpcMethod) -> grpc.RpcMethodHandler:
        match method:
            case UnaryMethod():
                return self._unary_handler(method)
            case StreamMethod():
                return self._stream_handler(method)

    def _unary_handler(self, method: UnaryMethod) -> grpc.RpcMethodHandler:
        async def handle_call(
            data: bytes, context: grpc.aio.ServicerContext
        ) -> bytes:
            request = await self._decode_request(method.decoder, data, context)
            try:
                reply = codec.encode(await method.handle(request))
            except exceptions.ProtocolError as exc:
                self._on_rejected(str(exc))
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
            method.on_completed(len(data) + len(reply))
            return reply

        return grpc.unary_unary_rpc_method_handler(handle_call)

    def _stream_handler(self, method: StreamMethod) -> grpc.RpcMethodHandler:
        async def handle_call(
            data: bytes, context: grpc.aio.ServicerContext
        ) -> AsyncIterator[bytes]:
            request = await self._decode_request(method.decoder, data, context)
            async for reply in method.handle(request):
                yield codec.encode(reply)

        return grpc.unary_stream_rpc_method_handler(handle_call)

    async def _decode_request(
        self,
        decoder: codec.Decoder,
        data: bytes,
        context: grpc.aio.ServicerContext,
    ) -> Any:
        """Returns the valid request, or aborts the call."""
        if not grpc_security.has_shared_key(context, self._shared_key):
            self._on_rejected("shared_key")
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "shared key is missing or wrong",
            )
        try:
            return decoder.decode(data)
        except exceptions.ProtocolError as exc:
            self._on_rejected("malformed")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
