"""Datagrams between nodes that grant tokens of client accounts."""

import asyncio
from collections.abc import Callable, Iterable
import logging

from tanagerspoke import exceptions
from tanagerspoke.protocol import codec
from tanagerspoke.protocol import usage
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import options

log = logging.getLogger(__name__)

# The datagrams use the port after the one of the zone feed.
_PORT_OFFSET = 1
# Headers of IP and UDP, which count towards the control bytes.
_HEADER_BYTES = 28


class UsageSocket(asyncio.DatagramProtocol):
    """Sends and receives the messages of listed nodes.

    Attributes:
        exchanged_bytes: total size of all datagrams, with their headers.
    """

    def __init__(
        self,
        *,
        peers: options.Endpoint,
        on_message: Callable[[str, usage.Message], None],
        on_ignored: Callable[[str], None],
    ) -> None:
        """Creates a socket that is not open.

        Args:
            peers: endpoint of the zone feed; the socket uses the next port.
            on_message: called with the name of the sending node and each
                valid message.
            on_ignored: called with the reason for each ignored datagram:
                `malformed` or `unknown_sender`.
        """
        self._peers = peers
        self._on_message = on_message
        self._on_ignored = on_ignored
        self._decoder = codec.Decoder(message_type=usage.Message)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._names: dict[tuple[str, int], str] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.exchanged_bytes = 0

    async def start(self) -> None:
        """Opens the port.

        Raises:
            OSError: the port is in use.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=(self._peers.address, self._peers.port + _PORT_OFFSET),
        )

    def close(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def set_nodes(self, nodes: Iterable[zone_feed.Node]) -> None:
        """Sets the nodes whose datagrams are accepted."""
        self._addresses = {
            node.name: (node.address, node.port + _PORT_OFFSET)
            for node in nodes
        }
        self._names = {
            address: name for name, address in self._addresses.items()
        }

    def send(self, node: str, message: usage.Message) -> None:
        """Sends a message, which may be lost."""
        address = self._addresses.get(node)
        if address is None or self._transport is None:
            return
        data = codec.encode(message)
        self.exchanged_bytes += len(data) + _HEADER_BYTES
        try:
            self._transport.sendto(data, address)
        except OSError as exc:
            # The requester repeats the request, or asks the other owner.
            log.debug("usage_not_sent", extra={"error": str(exc)})

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Called by the event loop when a node's port is closed."""
        log.debug("usage_not_sent", extra={"error": str(exc)})

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Called by the event loop."""
        self.exchanged_bytes += len(data) + _HEADER_BYTES
        name = self._names.get((addr[0], addr[1]))
        if name is None:
            self._on_ignored("unknown_sender")
            return
        if len(data) > usage.MAX_DATAGRAM_BYTES:
            self._on_ignored("malformed")
            return
        try:
            message = self._decoder.decode(data)
        except exceptions.ProtocolError:
            self._on_ignored("malformed")
            return
        self._on_message(name, message)
