"""UDP endpoint for messages between daemons."""

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

from ..logs import EventSampler, Level
from ._codec import Message, MessageError, decode_message, encode_message


class NeighbourEndpoint(asyncio.DatagramProtocol):
    """Sends and receives messages over UDP.

    Complete reports, sent periodically, replace the state known before; what a report
    sends once is lost with it. Without connections, a lost or late report does not
    delay the next, and nothing must be re-established after an outage or a restart of
    a neighbour.

    Args:
        on_message: Called with each message and the IP address of its sender.
        sampler: Logs malformed and undelivered datagrams.

    Attributes:
        sent_count: Datagrams sent.
        received_count: Datagrams received, malformed ones included.
    """

    __slots__ = (
        "sent_count",
        "received_count",
        "_on_message",
        "_sampler",
        "_transport",
        "_port",
    )

    def __init__(
        self, on_message: Callable[[Message, str], None], sampler: EventSampler
    ) -> None:
        self.sent_count = 0
        self.received_count = 0
        self._on_message = on_message
        self._sampler = sampler
        self._transport: asyncio.DatagramTransport | None = None
        self._port = 0

    async def start(self, address: str, port: int) -> None:
        """Bind the socket.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))
        self._port = port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and dispatch a datagram; drop a malformed one."""
        self.received_count += 1
        try:
            message = decode_message(data)
        except MessageError as exc:
            self._sampler.log(
                "datagram_dropped", Level.WARNING, sender=addr[0], reason=str(exc)
            )
            return
        self._on_message(message, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Log the delivery error of an earlier datagram."""
        self._sampler.log("datagram_undelivered", Level.DEBUG, reason=str(exc))

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to the daemons at the given IP addresses."""
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_message(message)
        for address in addresses:
            self.sent_count += 1
            self._transport.sendto(data, (address, self._port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
