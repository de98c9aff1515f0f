"""Relays that delay bytes like the link between two regions."""

import asyncio

DELAY_S = 0.012  # one way between regions
RATE_BYTES_PER_S = 30e6 / 8  # 30 Mbit/s each way, shared
MAX_QUEUED_BYTES = 256 << 10  # per direction of a connection


class LinkDirection:
    """One direction of the link, shared by all connections.

    Attributes:
        delay_s: Propagation delay, in seconds.
        rate: Capacity in bytes per second.
        carried_bytes: Bytes sent so far.
    """

    __slots__ = ("delay_s", "rate", "carried_bytes", "_free_s")

    def __init__(
        self, delay_s: float = DELAY_S, rate: float = RATE_BYTES_PER_S
    ) -> None:
        self.delay_s = delay_s
        self.rate = rate
        self.carried_bytes = 0
        self._free_s = 0.0

    def arrival(self, now_s: float, size: int) -> float:
        """Send ``size`` bytes and return when they arrive."""
        self.carried_bytes += size
        self._free_s = max(self._free_s, now_s) + size / self.rate
        return self._free_s + self.delay_s


class _Leg(asyncio.Protocol):
    """One socket of a relayed connection."""

    __slots__ = ("direction", "other", "transport", "refused", "_queued", "_pending")

    def __init__(self, direction: LinkDirection) -> None:
        self.direction = direction
        self.other: _Leg | None = None
        self.transport: asyncio.Transport | None = None
        self.refused = False
        self._queued = 0
        self._pending: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.refused:
            transport.abort()

    def refuse(self) -> None:
        """Break the connection now, or as soon as it is made."""
        self.refused = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        self._queued += len(data)
        if self._queued > MAX_QUEUED_BYTES and self.transport is not None:
            self.transport.pause_reading()
        arrival_s = self.direction.arrival(loop.time(), len(data))
        loop.call_at(arrival_s, self._deliver, data)

    def connection_lost(self, exc: Exception | None) -> None:
        loop = asyncio.get_running_loop()
        loop.call_at(self.direction.arrival(loop.time(), 0), self._close_other)

    def _deliver(self, data: bytes) -> None:
        self._queued -= len(data)
        if self._queued <= MAX_QUEUED_BYTES // 2 and self.transport is not None:
            if not self.transport.is_closing():
                self.transport.resume_reading()
        if self.other is not None:
            self.other.write(data)

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        other = self.other
        if other is not None and not _is_closed(other):
            assert other.transport is not None
            other.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Write now, or once the socket is connected."""
        if self.transport is None:
            self._pending.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def flush(self) -> None:
        """Write what came before the socket was connected."""
        for data in self._pending:
            self.write(data)
        self._pending.clear()

    def _close_other(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class LinkRelay:
    """Relays connections from a listening port to a target.

    Args:
        address: Loopback address to listen on.
        port: Port to listen on; 0 is replaced when it opens.
        target_address: Address to connect to.
        target_port: Port to connect to.
        forward: Direction of the bytes towards the target.
        backward: Direction of the bytes from the target.
    """

    def __init__(
        self,
        address: str,
        port: int,
        target_address: str,
        target_port: int,
        forward: LinkDirection,
        backward: LinkDirection,
    ) -> None:
        if not (address.startswith("127.") and target_address.startswith("127.")):
            raise ValueError("relays use loopback addresses only")
        self.address = address
        self.port = port
        self.cut = False
        self._target_address = target_address
        self._target_port = target_port
        self._forward = forward
        self._backward = backward
        self._legs: set[_Leg] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, self.address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def set_cut(self, cut: bool) -> None:
        """Break all connections and refuse new ones, or accept again."""
        self.cut = cut
        if cut:
            self._abort_all()

    def _abort_all(self) -> None:
        for leg in list(self._legs):
            if leg.transport is not None:
                leg.transport.abort()
        self._legs.clear()

    def _accept(self) -> _Leg:
        near = _Leg(self._forward)
        task = asyncio.get_running_loop().create_task(self._connect(near))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    async def _connect(self, near: _Leg) -> None:
        loop = asyncio.get_running_loop()
        far = _Leg(self._backward)
        try:
            if self.cut:
                raise ConnectionRefusedError("the link is cut")
            await loop.create_connection(
                lambda: far, self._target_address, self._target_port
            )
        except OSError:
            near.refuse()
            return
        self._legs = {leg for leg in self._legs if not _is_closed(leg)} | {near, far}
        near.other = far
        far.other = near
        far.flush()
        if _is_closed(near) and far.transport is not None:
            far.transport.abort()


def _is_closed(leg: _Leg) -> bool:
    return leg.transport is None or leg.transport.is_closing()
