"""An answer is cut at a planned stop, since its client has sent the next request."""

import asyncio
import contextlib
import random
import signal
import socket
import sys
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Client,
    Daemon,
    Record,
    Target,
    World,
    run_case,
)

HOST = "api.example"
ANSWER_BYTES = 30_000
ONE_WAY_S = 0.001  # between a client and the daemon
LINK_BYTES_PER_S = 5_000_000 / 8
CHUNK_BYTES = 1448
CONNECTIONS = 40
MIN_SERVED_SHARE = 0.75  # of the clients, for the case to run
MEAN_GAP_S = 0.12  # between the requests of one client
UNSAFE_SHARE = 0.5  # of the requests with which a client begins a queue
WORK_MS = 60
LIMIT_MS = 1500
BEFORE_S = 3.0
GRACE_S = 6.0


class Line:
    """A connection over a line with a delay and a limited bandwidth to the client."""

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setblocking(False)
        self.received = bytearray()
        self.is_closed = False
        self._ends: list[asyncio.Handle] = []
        self._pump: asyncio.Task[None] | None = None

    async def connect(self, daemon: Daemon) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._sock, (daemon.address, daemon.ports["front"]))
        self._pump = asyncio.create_task(self._receive())

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(self._sock, CHUNK_BYTES):
                loop.call_later(ONE_WAY_S, self.received.extend, data)
                await asyncio.sleep(len(data) / LINK_BYTES_PER_S)
        loop.call_later(ONE_WAY_S, self._end)

    def _end(self) -> None:
        self.is_closed = True

    def send(self, data: bytes) -> None:
        def deliver() -> None:
            with contextlib.suppress(OSError):
                self._sock.send(data)

        asyncio.get_running_loop().call_later(ONE_WAY_S, deliver)

    def close(self) -> None:
        if self._pump is not None:
            self._pump.cancel()
        self._sock.close()


class PipeliningClient:
    """Sends requests before the earlier ones are answered, and reads the answers."""

    def __init__(self, record: Record, client: Client, seed: int) -> None:
        self._record = record
        self._client = client
        self._rng = random.Random(seed)
        self.sent: deque[tuple[str, float]] = deque()
        self.whole = 0
        self.cut: list[str] = []
        self.unsafe: set[str] = set()

    async def run(self, daemon: Daemon, end_s: float) -> None:
        """Use one connection until it closes."""
        line = Line()
        await line.connect(daemon)
        next_s = self._record.now_s() + self._rng.random() * MEAN_GAP_S
        must_stop = False
        try:
            while not line.is_closed and not (must_stop and not self.sent):
                now_s = self._record.now_s()
                must_stop = must_stop or now_s > end_s or _announces_close(line)
                if now_s >= next_s and not must_stop:
                    id, data = self._make_request()
                    self.sent.append((id, now_s))
                    line.send(data)
                    next_s = now_s + self._rng.expovariate(1.0 / MEAN_GAP_S)
                self._take_answers(line)
                await asyncio.sleep(0.003)
            self._take_answers(line)
            if line.is_closed and line.received and self.sent:
                id, sent_s = self.sent[0]
                age_s = self._record.now_s() - sent_s
                self._record.write(
                    f"connection ends {len(line.received)} bytes into the answer to"
                    f" {id}, {age_s:.3f} s after it was sent"
                )
                if age_s < LIMIT_MS / 1000.0:
                    self.cut.append(id)
        finally:
            line.close()

    def _make_request(self) -> tuple[str, bytes]:
        """Return a request; only the first one of a connection's queue may be unsafe."""
        if not self.sent and self._rng.random() < UNSAFE_SHARE:
            id, data = self._client.encode("POST", f"/order/{WORK_MS}", LIMIT_MS, b"x")
            self.unsafe.add(id)
        else:
            id, data = self._client.encode("GET", f"/look/{WORK_MS}", LIMIT_MS)
        kind = "unsafe" if id in self.unsafe else "safe"
        self._record.write(f"client sends {id} ({kind})")
        return id, data

    def _take_answers(self, line: Line) -> None:
        while (end := line.received.find(b"\r\n\r\n")) >= 0:
            head = bytes(line.received[:end]).lower()
            length = int(head.partition(b"content-length:")[2].split()[0])
            if len(line.received) < end + 4 + length:
                return
            del line.received[: end + 4 + length]
            id, _ = self.sent.popleft()
            status = head.split()[1].decode()
            self._record.write(f"client gets {status} for {id}, {length} bytes")
            self.whole += status == "200"


def _announces_close(line: Line) -> bool:
    return b"connection: close" in bytes(line.received[:1000]).lower()


def route(name: str, kind: str) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": f"{LIMIT_MS}ms",
        "slo": "600ms",
        "priority": 0,
        "service": "stock",
        "maxAttempts": 2,
    }


async def case(record: Record, folder: Path) -> str | None:
    world = World(record, {"east-a": "east"}, folder)
    await world.store.start()
    daemon = world.add_daemon("front-east-a-1", "east-a", [])
    world.choose_ports()
    daemon.seeds = [daemon.address]
    body = b"x" * ANSWER_BYTES
    targets = [
        Target(record, f"i-{i}", "stock", "east-a", slots=4, body=body) for i in range(8)
    ]
    for target in targets:
        await target.start()
        world.list_target(target)
    world.put_config(7, [route("look", "safe"), route("order", "unsafe")], ["stock"])
    client = Client(record, HOST)
    users = [PipeliningClient(record, client, seed) for seed in range(CONNECTIONS)]
    try:
        await daemon.start()
        await daemon.wait_until_ready()
        await asyncio.sleep(1.0)
        end_s = record.now_s() + BEFORE_S + GRACE_S
        tasks = [asyncio.create_task(user.run(daemon, end_s)) for user in users]
        await asyncio.sleep(BEFORE_S)
        served = sum(user.whole > 0 for user in users)
        record.write(f"{served} of {CONNECTIONS} clients were served so far")
        if served < MIN_SERVED_SHARE * CONNECTIONS:
            raise CannotRun("too few clients were served before the signal")
        if TROUBLE:
            daemon.send_signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
    finally:
        await daemon.end()
        daemon.copy_log()
    run_ids = {id for target in targets for _, id, _ in target.runs}
    cut = [id for user in users for id in user.cut if id in run_ids]
    whole = sum(user.whole for user in users)
    record.write(f"{whole} answers whole, {len(cut)} cut")
    unsafe = set[str]().union(*(user.unsafe for user in users))
    if cut:
        return (
            f"LOST: the answers to {len(cut)} requests that servers ran were cut,"
            f" {len(unsafe & set(cut))} of them unsafe"
        )
    return None


if __name__ == "__main__":
    sys.exit(run_case(case, Path(sys.argv[1])))
