"""A fake of the links between entry hosts."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from ...errors import PeerUnreachableError
from ...model import ListedHost
from ...peer import (
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Message,
    OutcomeReply,
    OutcomeRequest,
    PeerHandler,
    PeerIdentity,
)
from ._gate import GatedTimer, HostGate

HEARTBEAT_S = 1.0
IDLE_S = 3.5
SAME_CENTRE_S = 0.0003
SAME_REGION_S = 0.001
OTHER_REGION_S = 0.012
LATE_SHARE = 0.02  # messages that are delayed for long
LATE_S = 2.0


Serve = Callable[["Endpoint"], Awaitable[Any]]


class Endpoint:
    """One incarnation on the network; implements ``PeerPort``.

    Args:
        network: The network.
        identity: Who this is.
        gate: Gate of the host.
        timer: Timer service of the host.
    """

    def __init__(
        self,
        network: "Network",
        identity: PeerIdentity,
        gate: HostGate,
        timer: GatedTimer,
    ) -> None:
        self.network = network
        self.identity = identity
        self.gate = gate
        self.timer = timer
        self.events: PeerHandler
        self.heard_s: dict[str, float] = {}
        self.up: dict[str, PeerIdentity] = {}
        self.seq: dict[str, int] = {}
        self.echo: dict[str, int] = {}
        self.known_gone: set[int] = set()

    def start(self, events: PeerHandler) -> None:
        """Begin to exchange heartbeats."""
        self.events = events
        self.timer.every(HEARTBEAT_S, self._tick)
        self._tick()

    def update_listed(self, hosts: Iterable[ListedHost]) -> None:
        """Ignore the list; every endpoint knows the others."""

    def broadcast(self, message: Message) -> None:
        """Send a message to every linked peer."""
        for host in list(self.up):
            self.send(host, message)

    def send(self, host: str, message: Message) -> None:
        """Send a message to one linked peer."""
        peer = self.up.get(host)
        if peer is not None:
            self.network.deliver(self, peer, lambda end: end.take(self, message))

    async def forward(
        self, incarnation: int, req: ForwardRequest, timeout_s: float
    ) -> ForwardReply:
        """Send a request to the holder of its key."""
        return await self._ask(
            incarnation,
            timeout_s,
            lambda end: end.events.serve_forward(self.identity, req),
        )

    async def outcome(
        self, incarnation: int, req: OutcomeRequest, timeout_s: float
    ) -> OutcomeReply:
        """Ask the holder of a key for its state."""
        return await self._ask(
            incarnation,
            timeout_s,
            lambda end: end.events.serve_outcome(self.identity, req),
        )

    def take(self, sender: "Endpoint", message: Message) -> None:
        """Receive a message."""
        if sender.identity.host in self.up:
            self.events.on_message(sender.identity, message)

    def take_heartbeat(self, sender: "Endpoint", heartbeat: Heartbeat) -> None:
        """Receive a heartbeat, which also opens the link."""
        host = sender.identity.host
        known = self.up.get(host)
        if known is not None and known.incarnation != sender.identity.incarnation:
            self.known_gone.add(known.incarnation)
            self._drop(host, gone=True)
            known = None
        self.heard_s[host] = self.timer.now()
        if known is None:
            self.up[host] = sender.identity
            self.events.on_peer_up(sender.identity)
        self.echo[host] = max(self.echo.get(host, 0), heartbeat.seq)
        self.events.on_message(sender.identity, heartbeat)

    def _tick(self) -> None:
        now_s = self.timer.now()
        for host in [h for h in self.up if now_s - self.heard_s[h] > IDLE_S]:
            self._drop(host, gone=False)
        for peer in self.network.others(self):
            self._send_heartbeat(peer)

    def _send_heartbeat(self, peer: PeerIdentity) -> None:
        heartbeat = self.events.make_heartbeat(peer)
        seq = self.seq[peer.host] = self.seq.get(peer.host, 0) + 1
        heartbeat.seq = seq
        heartbeat.echo = self.echo.get(peer.host, 0)
        self.events.on_heartbeat_sent(peer, seq)
        self.network.deliver(
            self, peer, lambda end: end.take_heartbeat(self, heartbeat)
        )

    def _drop(self, host: str, gone: bool) -> None:
        peer = self.up.pop(host)
        self.seq.pop(host, None)
        self.echo.pop(host, None)
        self.events.on_peer_down(peer, gone)

    async def _ask(self, incarnation: int, timeout_s: float, call: Serve) -> Any:
        if incarnation in self.known_gone:
            raise PeerUnreachableError("replaced", sent=False, gone=True)
        if all(peer.incarnation != incarnation for peer in self.up.values()):
            raise PeerUnreachableError("no link", sent=False)
        return await self.network.ask(self, incarnation, timeout_s, call)


class Network:
    """Delivers messages between endpoints with delays, cuts and reordering.

    Args:
        rng: Source of randomness.
        connected: Returns whether two hosts can reach each other.
        spawn: Starts a task for an incarnation.
    """

    def __init__(
        self,
        rng: random.Random,
        connected: Callable[[str, str], bool],
        spawn: Callable,
    ) -> None:
        self._rng = rng
        self._connected = connected
        self._spawn = spawn
        self._endpoints: dict[str, Endpoint] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint; it replaces one of the same host."""
        self._endpoints[endpoint.identity.host] = endpoint

    def others(self, endpoint: Endpoint) -> list[PeerIdentity]:
        """Return the other endpoints."""
        return [e.identity for e in self._endpoints.values() if e is not endpoint]

    def deliver(
        self, sender: Endpoint, to: PeerIdentity, action: Callable[[Endpoint], object]
    ) -> None:
        """Deliver something to an incarnation, unless the way is cut."""
        if sender.gate.dead or not self._connected(sender.identity.host, to.host):
            return
        delay_s = self.delay_s(sender.identity, to)
        if self._rng.random() < LATE_SHARE:
            delay_s += LATE_S * self._rng.random()
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._arrive, sender, to, action)

    def _arrive(
        self,
        sender: Endpoint,
        to: PeerIdentity,
        action: Callable[[Endpoint], object],
    ) -> None:
        target = self._endpoints.get(to.host)
        if target is None or target.identity.incarnation != to.incarnation:
            return
        if self._connected(sender.identity.host, to.host):
            target.timer._owners.run_as(
                to.incarnation, lambda: target.gate.deliver(lambda: action(target))
            )

    async def ask(
        self, sender: Endpoint, incarnation: int, timeout_s: float, call: Serve
    ) -> Any:
        """Run a request at its holder and bring the reply back."""
        target = next(
            (
                e
                for e in self._endpoints.values()
                if e.identity.incarnation == incarnation
            ),
            None,
        )
        fut: asyncio.Future = asyncio.get_running_loop().create_future()
        if target is not None:
            self.deliver(
                sender,
                target.identity,
                lambda end: self._spawn(
                    incarnation, self._serve(sender, end, call, fut)
                ),
            )
        try:
            async with asyncio.timeout(max(0.001, timeout_s)):
                reply = await fut
        except TimeoutError:
            raise PeerUnreachableError("no reply", sent=True) from None
        await sender.gate.wait_open()
        return reply

    async def _serve(
        self, sender: Endpoint, target: Endpoint, call: Serve, fut: asyncio.Future
    ) -> None:
        reply = await call(target)
        await target.gate.wait_open()

        def finish(end: Endpoint) -> None:
            if not fut.done():
                fut.set_result(reply)

        self.deliver(target, sender.identity, finish)

    @staticmethod
    def delay_s(a: PeerIdentity, b: PeerIdentity) -> float:
        """Return the one-way delay between two hosts, in seconds."""
        if a.region != b.region:
            return OTHER_REGION_S
        return SAME_CENTRE_S if a.data_centre == b.data_centre else SAME_REGION_S
