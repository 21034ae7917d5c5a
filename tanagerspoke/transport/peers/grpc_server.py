"""Port of one gRPC service between our processes."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
import dataclasses
from typing import Any, TypeAlias

import grpc
import grpc.aio

from tanagerspoke import exceptions
from tanagerspoke.protocol import codec
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import grpc_security

# Time for running calls when the port closes.
_GRACE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unary:
    """A method with one answer.

    Attributes:
        decoder: checks the request.
        handle: gives the answer; a `ProtocolError` refuses the message.
        on_exchange: takes the bytes of request and answer.
    """

    decoder: codec.Decoder
    handle: Callable[[Any], Awaitable[Any]]
    on_exchange: Callable[[int], None] = lambda size_bytes: None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """A method with many answers.

    Attributes:
        decoder: checks the request.
        handle: yields the answers.
    """

    decoder: codec.Decoder
    handle: Callable[[Any], AsyncIterator[Any]]


Method: TypeAlias = Unary | Stream


class GrpcServer:
    """Serves the methods of one service, with mutual TLS where it is set.

    Messages without the shared key, or in another form, are refused.
    """

    def __init__(
        self,
        *,
        service: str,
        methods: Mapping[str, Method],
        listen: options.Endpoint,
        shared_key: str,
        tls: options.Tls | None,
        on_refused: Callable[[str], None],
    ) -> None:
        """Creates a closed server.

        Args:
            service: name of the service.
            methods: methods by name.
            listen: port.
            shared_key: what a caller's metadata must carry.
            tls: certificates, None for a channel without TLS.
            on_refused: takes the reason of each refusal.
        """
        self._service = service
        self._methods = methods
        self._listen = listen
        self._shared_key = shared_key
        self._tls = tls
        self._on_refused = on_refused
        self._server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Opens the port."""
        handlers = {
            name: self._handler(method)
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
        """Closes the port; running calls get a short grace time."""
        if self._server is not None:
            await self._server.stop(grace=_GRACE_S)
            self._server = None

    def _handler(self, method: Method) -> grpc.RpcMethodHandler:
        match method:
            case Unary():
                return self._unary(method)
            case Stream():
                return self._stream(method)

    def _unary(self, method: Unary) -> grpc.RpcMethodHandler:
        async def handler(
            data: bytes, context: grpc.aio.ServicerContext
        ) -> bytes:
            request = await self._accept(method.decoder, data, context)
            try:
                answer = codec.encode(await method.handle(request))
            except exceptions.ProtocolError as exc:
                self._on_refused(str(exc))
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
            method.on_exchange(len(data) + len(answer))
            return answer

        return grpc.unary_unary_rpc_method_handler(handler)

    def _stream(self, method: Stream) -> grpc.RpcMethodHandler:
        async def handler(
            data: bytes, context: grpc.aio.ServicerContext
        ) -> AsyncIterator[bytes]:
            request = await self._accept(method.decoder, data, context)
            async for answer in method.handle(request):
                yield codec.encode(answer)

        return grpc.unary_stream_rpc_method_handler(handler)

    async def _accept(
        self,
        decoder: codec.Decoder,
        data: bytes,
        context: grpc.aio.ServicerContext,
    ) -> Any:
        """Returns the checked message, or aborts the call."""
        if not grpc_security.has_key(context, self._shared_key):
            self._on_refused("shared_key")
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "shared key is missing or wrong",
            )
        try:
            return decoder.decode(data)
        except exceptions.ProtocolError as exc:
            self._on_refused("malformed")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
