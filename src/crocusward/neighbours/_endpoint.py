"""The datagram socket of a daemon."""

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

from ..logs import EventSampler, Level
from ._codec import Message, MessageError, decode_message, encode_message


class NeighbourEndpoint(asyncio.DatagramProtocol):
    """Sends and receives messages.

    Datagrams instead of a websocket for each pair: a report replaces the one before,
    so a lost or late one must not hold up the next, and neither an outage nor a
    restart of a neighbour leaves a connection to repair.

    Args:
        on_message: Receives each message with the address of its sender.
        sampler: Logs malformed datagrams.
    """

    __slots__ = ("sent", "received", "_on_message", "_sampler", "_transport", "_port")

    def __init__(
        self, on_message: Callable[[Message, str], None], sampler: EventSampler
    ) -> None:
        self.sent = 0
        self.received = 0
        self._on_message = on_message
        self._sampler = sampler
        self._transport: asyncio.DatagramTransport | None = None
        self._port = 0

    async def start(self, address: str, port: int) -> None:
        """Open the socket.

        Raises:
            OSError: The port is in use.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))
        self._port = port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram; a malformed one is dropped."""
        self.received += 1
        try:
            message = decode_message(data)
        except MessageError as exc:
            self._sampler.log(
                "datagram_dropped", Level.WARNING, sender=addr[0], reason=str(exc)
            )
            return
        self._on_message(message, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Log that an earlier datagram was not delivered."""
        self._sampler.log("datagram_undelivered", Level.DEBUG, reason=str(exc))

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to the daemons at some IP addresses."""
        if self._transport is None:
            return
        data = encode_message(message)
        for address in addresses:
            self.sent += 1
            self._transport.sendto(data, (address, self._port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
