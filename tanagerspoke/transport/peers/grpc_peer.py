"""gRPC between the agents of different hosts."""

from collections.abc import Callable
from typing import Protocol

import grpc.aio

from tanagerspoke import exceptions
from tanagerspoke.protocol import codec
from tanagerspoke.protocol import peer
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import grpc_security
from tanagerspoke.transport.peers import grpc_server

_heartbeat_decoder = codec.Decoder(message_type=peer.Heartbeat)
_snapshot_request_decoder = codec.Decoder(message_type=peer.SnapshotRequest)
_snapshot_reply_decoder = codec.Decoder(message_type=peer.SnapshotReply)

# In a large fleet each peer is contacted rarely, so not all channels stay open.
_MAX_OPEN_CHANNELS = 16


class PeerHandler(Protocol):
    """Handles the requests of peers."""

    async def exchange(self, heartbeat: peer.Heartbeat) -> peer.Heartbeat:
        """Applies a peer's heartbeat and returns one of this agent.

        Raises:
            ProtocolError: the heartbeat is rejected.
        """

    async def fetch_snapshot(
        self, request: peer.SnapshotRequest
    ) -> peer.SnapshotReply:
        """Returns the active configuration if it is newer than the peer's.

        Otherwise the reply contains only the active revision.
        """

    def charge_heartbeat(self, size_bytes: int) -> None:
        """Charges a heartbeat and its reply to the control budget."""

    def charge_snapshot(self, size_bytes: int) -> None:
        """Charges a snapshot request and its reply to the control budget."""


def create_peer_server(
    *,
    listen: options.Endpoint,
    shared_key: str,
    tls: options.Tls | None,
    handler: PeerHandler,
    on_rejected: Callable[[str], None],
) -> grpc_server.GrpcServer:
    """Returns a server, not started, for the agents of other hosts."""
    return grpc_server.GrpcServer(
        service=peer.SERVICE,
        methods={
            "Exchange": grpc_server.UnaryMethod(
                decoder=_heartbeat_decoder,
                handle=handler.exchange,
                on_completed=handler.charge_heartbeat,
            ),
            "FetchSnapshot": grpc_server.UnaryMethod(
                decoder=_snapshot_request_decoder,
                handle=handler.fetch_snapshot,
                on_completed=handler.charge_snapshot,
            ),
        },
        listen=listen,
        shared_key=shared_key,
        tls=tls,
        on_rejected=on_rejected,
    )


class PeerClient:
    """Calls other agents; the most recently used channels stay open.

    Every call raises `AgentUnavailableError` if the peer does not reply or
    rejects the request, and `ProtocolError` if the reply is malformed.
    """

    def __init__(
        self, *, shared_key: str, tls: options.Tls | None, timeout_s: float
    ) -> None:
        self._metadata = grpc_security.call_metadata(shared_key)
        self._tls = tls
        self._timeout_s = timeout_s
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def close(self) -> None:
        """Closes all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    async def exchange(
        self, *, target: str, data: bytes
    ) -> tuple[peer.Heartbeat, int]:
        """Sends an encoded heartbeat; returns the reply and its size."""
        reply = await self._call(target, "Exchange", data)
        return _heartbeat_decoder.decode(reply), len(reply)

    async def fetch_snapshot(
        self, *, target: str, data: bytes
    ) -> tuple[peer.SnapshotReply, int]:
        """Sends an encoded request; returns the reply and its size."""
        reply = await self._call(target, "FetchSnapshot", data)
        return _snapshot_reply_decoder.decode(reply), len(reply)

    async def _call(self, target: str, method_name: str, data: bytes) -> bytes:
        channel = await self._channel(target)
        method = channel.unary_unary(f"/{peer.SERVICE}/{method_name}")
        try:
            return await method(
                data, metadata=self._metadata, timeout=self._timeout_s
            )
        except grpc.aio.AioRpcError as exc:
            raise exceptions.AgentUnavailableError(
                f"peer {target}: {exc.code().name}: {exc.details()}"
            ) from exc

    async def _channel(self, target: str) -> grpc.aio.Channel:
        channel = self._channels.pop(target, None)
        if channel is None:
            channel = grpc_security.create_channel(target=target, tls=self._tls)
        self._channels[target] = channel
        while len(self._channels) > _MAX_OPEN_CHANNELS:
            least_recent = next(iter(self._channels))
            await self._channels.pop(least_recent).close(grace=self._timeout_s)
        return channel
