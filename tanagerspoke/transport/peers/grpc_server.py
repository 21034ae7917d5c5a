"""Port of one gRPC service between our processes."""

from collections.abc import Mapping

import grpc
import grpc.aio

from tanagerspoke.settings import options
from tanagerspoke.transport.peers import grpc_security

# Time for running calls when the port closes.
_GRACE_S = 0.5


class GrpcServer:
    """Serves the methods of one service, with mutual TLS where it is set."""

    def __init__(
        self,
        *,
        service: str,
        methods: Mapping[str, grpc.RpcMethodHandler],
        listen: options.Endpoint,
        tls: options.Tls | None,
    ) -> None:
        self._service = service
        self._methods = methods
        self._listen = listen
        self._tls = tls
        self._server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Opens the port."""
        self._server = grpc.aio.server()
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    self._service, self._methods
                ),
            )
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
