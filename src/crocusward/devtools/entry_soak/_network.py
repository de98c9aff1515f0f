"""A network in virtual time: connections that may fall silent, and datagrams."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from typing import Any, cast

from ...upstream import HttpPool
from ...upstream._connection import HttpConnection
from ..virtual_loop import VirtualLoop

STEP_S = 1e-6  # least time between two iterations of the loop
ORDER_STEP_S = 1e-9  # between two deliveries of one connection
LOCAL_DELAY_S = 0.0003
REMOTE_DELAY_S = 0.012
FIRST_FREE_PORT = 30_000


class SimulatedSocket:
    """Stands for the socket of a connection; it never has unread data."""

    def recv(self, size, flags):
        raise BlockingIOError


class SimulatedTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network, local, remote):
        super().__init__()
        self.protocol: Any = None
        self.peer: SimulatedTransport | None = None
        self.is_silent = False
        self._network = network
        self._local = local
        self._remote = remote
        self._is_closing = False
        self._last_at_s = 0.0

    def get_extra_info(self, name, default=None):
        return {"peername": self._remote, "sockname": self._local}.get(name, default)

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def can_write_eof(self):
        return False

    def is_closing(self):
        return self._is_closing

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def write(self, data):
        if not self._is_closing:
            self._send(lambda peer, data=bytes(data): peer.receive(data))

    def close(self):
        self._end(None)

    def abort(self):
        self._end(ConnectionResetError("reset"))

    def _end(self, exc):
        if self._is_closing:
            return
        self._is_closing = True
        self._network.connections.discard(self)
        self._send(lambda peer: peer.end_by_peer(exc))
        self._network.loop.call_soon(self.protocol.connection_lost, None)

    def _send(self, deliver):
        loop = self._network.loop
        at_s = loop.time() + self._network.delay_s(self._local[0], self._remote[0])
        # Timers of the same moment fire in any order; what is sent keeps its order.
        self._last_at_s = max(at_s, self._last_at_s + ORDER_STEP_S)
        loop.call_at(self._last_at_s, self._deliver, deliver)

    def _deliver(self, deliver):
        peer = self.peer
        if peer is not None and not self.is_silent and not peer._is_closing:
            deliver(peer)

    def receive(self, data):
        if isinstance(self.protocol, asyncio.BufferedProtocol):
            while data and not self._is_closing:
                buffer = cast(memoryview, self.protocol.get_buffer(len(data)))
                part, data = data[: len(buffer)], data[len(buffer) :]
                buffer[: len(part)] = part
                self.protocol.buffer_updated(len(part))
        else:
            self.protocol.data_received(data)

    def end_by_peer(self, exc):
        """Pass on that the other end closed or reset the connection."""
        if exc is None and self.protocol.eof_received():
            return
        if not self._is_closing:
            self._is_closing = True
            self._network.connections.discard(self)
            self.protocol.connection_lost(exc)


class SimulatedListener:
    """Stands for a listening socket; no connection waits there."""

    def __init__(self, network, address):
        self._network = network
        self._address = address
        self.sockets = [self]

    def getsockname(self):
        return self._address

    def dup(self):
        return contextlib.nullcontext(self)

    def accept(self):
        raise BlockingIOError

    def close(self):
        self._network.listeners.pop(self._address, None)


class SimulatedDatagrams(asyncio.DatagramTransport):
    """Stands for a datagram socket."""

    def __init__(self, network, address, protocol):
        super().__init__()
        self.protocol = protocol
        self._network = network
        self._address = address
        self._is_closing = False

    def sendto(self, data, addr=None):
        network = self._network
        receiver = network.datagram_sockets.get(addr)
        if receiver is None or network.rng.random() < network.loss:
            return
        delay_s = network.delay_s(self._address[0], addr[0])
        network.loop.call_later(delay_s, receiver.receive, data, self._address)

    def receive(self, data, sender):
        if not self._is_closing:
            self.protocol.datagram_received(data, sender)

    def is_closing(self):
        return self._is_closing

    def close(self):
        self._is_closing = True
        if self._network.datagram_sockets.get(self._address) is self:
            del self._network.datagram_sockets[self._address]


class SimulatedNetwork(VirtualLoop):
    """An event loop in virtual time whose sockets are simulated.

    Args:
        seed: Seed of losses and silences.
        loss: Share of the datagrams that are lost.

    Attributes:
        connections: Both ends of all open connections.
        opened_count: Connections opened so far.
        listeners: Protocol factories by address and port.
        data_centre_by_ip: Data centres of the hosts, for the delays.
    """

    def __init__(self, seed: int, loss: float = 0.0) -> None:
        super().__init__(STEP_S)
        self.loop = self
        self.rng = random.Random(seed)
        self.loss = loss
        self.connections: set[SimulatedTransport] = set()
        self.listeners: dict[tuple[str, int], Callable[[], asyncio.BaseProtocol]] = {}
        self.datagram_sockets: dict[tuple[str, int], SimulatedDatagrams] = {}
        self.data_centre_by_ip: dict[str, str] = {}
        self.opened_count = 0
        self._next_port = FIRST_FREE_PORT

    def delay_s(self, one, other):
        """Return the delay between two IP addresses, one way."""
        places = self.data_centre_by_ip
        is_local = places.get(one) == places.get(other)
        return LOCAL_DELAY_S if is_local else REMOTE_DELAY_S

    async def create_server(self, protocol_factory, host=None, port=0, **options):
        """Listen on an address."""
        if not port:
            self._next_port += 1
            port = self._next_port
        self.listeners[(host, port)] = protocol_factory
        return SimulatedListener(self, (host, port))

    def remove_reader(self, fd):
        """Stop to watch a socket; simulated ones are not watched."""
        return False if isinstance(fd, SimulatedListener) else super().remove_reader(fd)

    async def create_datagram_endpoint(
        self, protocol_factory, local_addr=None, *args, **options
    ):
        """Bind a datagram socket."""
        protocol = protocol_factory()
        transport = SimulatedDatagrams(self, local_addr, protocol)
        self.datagram_sockets[local_addr] = transport
        protocol.connection_made(transport)
        return transport, protocol

    async def connect(self, local, remote, make_protocol):
        """Open a connection; return the protocol of this end.

        Raises:
            ConnectionRefusedError: Nobody listens there.
        """
        await asyncio.sleep(2.0 * self.delay_s(local[0], remote[0]))
        factory = self.listeners.get(remote)
        if factory is None:
            raise ConnectionRefusedError(f"{remote}: refused")
        near = SimulatedTransport(self, local, remote)
        far = SimulatedTransport(self, remote, local)
        near.peer, far.peer = far, near
        near.protocol, far.protocol = make_protocol(), factory()
        self.connections |= {near, far}
        self.opened_count += 1
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near.protocol

    def silence(self, chosen: Callable[[str, str], bool]) -> int:
        """Let open connections fall silent for good; new ones work.

        Args:
            chosen: Returns whether a connection of two IP addresses is concerned.

        Returns:
            The number of connections.
        """
        found = [
            end for end in self.connections if chosen(end._local[0], end._remote[0])
        ]
        for end in found:
            end.is_silent = True
            if end.peer is not None:
                end.peer.is_silent = True
        return len(found) // 2

    def shut(self, ip: str) -> None:
        """End everything that a process at an IP address has open."""
        for end in [c for c in self.connections if c._local[0] == ip]:
            end.abort()
        for address in [a for a in self.listeners if a[0] == ip]:
            del self.listeners[address]
        for address in [a for a in self.datagram_sockets if a[0] == ip]:
            self.datagram_sockets[address].close()


class SimulatedPool(HttpPool):
    """A connection pool whose connections are simulated."""

    __slots__ = ("_network", "_ip")

    def __init__(self, network, ip, timer, **options):
        super().__init__(timer, **options)
        self._network = network
        self._ip = ip

    async def _open_connection(self, endpoint, address, port):
        def on_closed(conn):
            endpoint.open_count -= 1
            if conn in endpoint.idle:
                endpoint.idle.remove(conn)

        def make():
            sock = cast(socket.socket, SimulatedSocket())
            return HttpConnection(
                self._timer, sock, self._buffer, self.memory_budget, self.pacer
            )

        self._network._next_port += 1
        local = (self._ip, self._network._next_port)
        conn = await self._network.connect(local, (address, port), make)
        if conn.is_closed:
            raise ConnectionResetError("the server closed the new connection")
        conn.on_closed = on_closed
        return conn
