"""Measures bytes and processor time of the inner protocol."""

import asyncio
import json
import random
import socket
import struct
import time

import cyclopts

from ..errors import CrocusError
from ..model import ListedHost, Record
from ..peer import (
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    LinkFault,
    Message,
    OfferedRate,
    OutcomeReply,
    OutcomeRequest,
    PeerIdentity,
    PeerMesh,
    PeerOptions,
    PeerServer,
)
from ..timing import LoopTimer

HEADER_BYTES = 52  # IPv4 and TCP with timestamps, per segment
SEGMENTS_OFFSET = 136  # tcpi_segs_out and tcpi_segs_in in Linux tcp_info
TCP_INFO_BYTES = 256
SETTLE_S = 4.0
MAX_SECONDS = 120.0


class _Handler:
    """Sends a demand that varies by about 15% from one heartbeat to the next."""

    def __init__(self, contracts: int, rng: random.Random) -> None:
        self._rng = rng
        self._rates = {
            f"contract-{n:02d}": rng.uniform(5.0, 500.0) for n in range(contracts)
        }

    def make_heartbeat(self, peer: PeerIdentity) -> Heartbeat:
        offered_rates = tuple(
            OfferedRate(name, rate * self._rng.gauss(1.0, 0.15))
            for name, rate in self._rates.items()
        )
        return Heartbeat(0, 0, 100_000, bytes(8), 1000, offered_rates=offered_rates)

    def on_heartbeat_sent(self, peer: PeerIdentity, seq: int) -> None:
        pass

    def on_message(self, peer: PeerIdentity, message: Message) -> None:
        pass

    def on_peer_up(self, peer: PeerIdentity) -> None:
        pass

    def on_peer_down(self, peer: PeerIdentity, gone: bool) -> None:
        pass

    def on_link_fault(self, host: str, fault: LinkFault, reason: str) -> None:
        pass

    async def serve_forward(
        self, peer: PeerIdentity, req: ForwardRequest
    ) -> ForwardReply:
        raise CrocusError("nothing is forwarded here")

    async def serve_outcome(
        self, peer: PeerIdentity, req: OutcomeRequest
    ) -> OutcomeReply:
        raise CrocusError("nothing is asked here")


class _Sample(Record):
    """Counters of one daemon at one time."""

    __slots__ = ("time_s", "cpu_s", "payload", "frames", "segments")

    def __init__(self, mesh: PeerMesh) -> None:
        traffic = mesh.traffic
        self.time_s = time.monotonic()
        self.cpu_s = time.process_time()
        self.payload = traffic.control_sent_bytes + traffic.control_received_bytes
        self.frames = traffic.frames_sent + traffic.frames_received
        self.segments = sum(_segments(link.socket) for link in mesh.links())


def _segments(sock: socket.socket) -> int:
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    sent, received = struct.unpack_from("II", info, SEGMENTS_OFFSET)
    return int(sent + received)


async def _start_mesh(number: int, contracts: int) -> tuple[PeerMesh, PeerServer]:
    rng = random.Random(number)
    mesh = PeerMesh(
        LoopTimer(asyncio.get_running_loop(), rng),
        rng,
        PeerIdentity(f"entry-{number:02d}", "pohja", "tallinn-a", rng.getrandbits(64)),
        PeerOptions(bytes(32)),
        _Handler(contracts, rng),
    )
    server = PeerServer(mesh, "127.0.0.1", 0)
    await server.start()
    mesh.start()
    return mesh, server


async def measure_mesh(peers: int, contracts: int, seconds: float) -> dict[str, float]:
    """Run ``peers`` + 1 meshes in this process and return the cost of one.

    Args:
        peers: Number of links of each mesh.
        contracts: Contracts whose demand every mesh reports.
        seconds: Length of the measurement, in seconds.
    """
    started = [await _start_mesh(n, contracts) for n in range(peers + 1)]
    listed = [
        ListedHost(mesh.identity.host, "entry", "r", "d", server.address, server.port)
        for mesh, server in started
    ]
    for mesh, _server in started:
        mesh.update_listed(listed)
    await asyncio.sleep(SETTLE_S)
    middle = started[len(started) // 2][0]
    first = _Sample(middle)
    await asyncio.sleep(seconds)
    last = _Sample(middle)
    links = len(middle.peers())
    for mesh, server in started:
        await mesh.close()
        await server.close()
    return _report(first, last, links, len(started), contracts)


def _report(
    first: _Sample, last: _Sample, links: int, daemons: int, contracts: int
) -> dict[str, float]:
    elapsed_s = last.time_s - first.time_s
    payload = (last.payload - first.payload) / elapsed_s
    segments = (last.segments - first.segments) / elapsed_s
    frames = (last.frames - first.frames) / elapsed_s
    return {
        "links": links,
        "contracts": contracts,
        "frames_per_s": round(frames, 1),
        "bytes_per_frame": round(payload / max(frames, 1e-9), 1),
        "bytes_per_s": round(payload),
        "segments_per_s": round(segments, 1),
        "bytes_per_s_with_tcp_ip": round(payload + segments * HEADER_BYTES),
        "cpu_share_per_daemon": round(
            (last.cpu_s - first.cpu_s) / elapsed_s / daemons, 5
        ),
    }


def main(*, peers: int = 13, contracts: int = 8, seconds: float = 10.0) -> None:
    """Run ``peers`` + 1 meshes in this process and print one line of JSON."""
    seconds = min(seconds, MAX_SECONDS)
    print(json.dumps(asyncio.run(measure_mesh(peers, contracts, seconds))))


if __name__ == "__main__":
    cyclopts.run(main)
