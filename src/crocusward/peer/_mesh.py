"""Full mesh of links to all peers: dialling, heartbeats and requests."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Iterable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ..errors import PeerUnreachableError
from ..model import ListedHost
from ..timing import Subscription, TimerService
from ._auth import Authenticator
from ._codec import MAX_FORWARD_BYTES, Frame, encode
from ._dialler import CLOSE_TIMEOUT_S, Dialler
from ._faults import LinkFault, PeerProtocolError
from ._link import CLOSE_STATUS_CODE, PeerLink
from ._messages import (
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Hello,
    Message,
    OutcomeReply,
    OutcomeRequest,
)
from ._options import (
    MAX_DIALLED_HANDSHAKES,
    MAX_HANDSHAKES,
    PeerHandler,
    PeerIdentity,
    PeerOptions,
    PeerTraffic,
)
from ._pending import PendingRequests
from ._serving import RequestServer

# The dialling side sends a heartbeat each period and the accepting side replies, so
# that the reply carries the TCP acknowledgement: three segments instead of four. The
# accepting side sends unprompted only when the dialling side is late. Shares are
# fractions of the heartbeat period.
TICKS_PER_HEARTBEAT = 2
DIALLED_HEARTBEAT_SHARE = 0.9
ACCEPTED_HEARTBEAT_SHARE = 1.2
ANSWER_HEARTBEAT_SHARE = 0.5
MAX_REPLACED_INCARNATIONS = 4096
RETIRE_DELAY_S = 2.0  # time for replies still in transit on a replaced link


class PeerMesh:
    """Maintains one link to each peer.

    Args:
        timer: Source of time.
        rng: Source of dialling jitter.
        identity: This daemon.
        options: Options of the peer protocol.
        handler: Receives messages and link events.
    """

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        identity: PeerIdentity,
        options: PeerOptions,
        handler: PeerHandler,
    ) -> None:
        self.identity = identity
        self.options = options
        self.traffic = PeerTraffic()
        self._timer = timer
        self._rng = rng
        self._handler = handler
        self._authenticator = Authenticator(identity, options.key)
        self._links: dict[str, PeerLink] = {}
        self._retired: set[PeerLink] = set()
        self._diallers: dict[str, Dialler] = {}
        self._replaced_incarnations: OrderedDict[int, None] = OrderedDict()
        self._last_incarnation: dict[str, int] = {}
        self._last_sent_seq: dict[int, int] = {}
        self._pending = PendingRequests()
        self._request_server = RequestServer(handler)
        self._accepting_handshakes = 0
        self._dial_handshake_slots = asyncio.Semaphore(MAX_DIALLED_HANDSHAKES)
        self._closed = False
        self._tick_subscription: Subscription | None = None

    def start(self) -> None:
        """Start sending heartbeats."""
        period_s = self.options.heartbeat_period_s / TICKS_PER_HEARTBEAT
        self._tick_subscription = self._timer.every(period_s, self._tick)

    async def close(self) -> None:
        """Close every link."""
        self._closed = True
        if self._tick_subscription is not None:
            self._tick_subscription.cancel()
        for link in [*self._links.values(), *self._retired]:
            link.close(LinkFault.STOPPING, "the daemon is stopping")
        self._request_server.close()
        await asyncio.sleep(0)  # lets the close tasks of the links start
        diallers = [dialler.stop() for dialler in self._diallers.values()]
        self._diallers.clear()
        tasks = [task for task in diallers if task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)

    def update_listed(self, hosts: Iterable[ListedHost]) -> None:
        """Dial the entry hosts of the host list, which may be out of date.

        A link to a host that is no longer listed stays until it closes.
        """
        listed = {
            host.name: host
            for host in hosts
            if host.role == "entry" and host.name != self.identity.host
        }
        for name in list(self._diallers):
            known = self._diallers[name].host
            host = listed.get(name)
            if host is None or (host.address, host.port) != (known.address, known.port):
                if name not in self._links or not self._links[name].is_dialled:
                    self._diallers.pop(name).stop()
        for name, host in listed.items():
            if name not in self._diallers and not self._closed:
                self._add_dialler(host)

    def peers(self) -> list[PeerIdentity]:
        """Return the peers with a link, by name."""
        return [link.peer for link in self.links()]

    def links(self) -> list[PeerLink]:
        """Return the links in use, by name of the peer."""
        links = [self._links[name] for name in sorted(self._links)]
        return [link for link in links if link.is_usable]

    def last_received_s(self, host: str) -> float | None:
        """Return when a frame last came from a host, in monotonic seconds."""
        link = self._links.get(host)
        return None if link is None else link.last_received_s

    def is_replaced(self, incarnation: int) -> bool:
        """Return True if another incarnation has replaced this one."""
        return incarnation in self._replaced_incarnations

    def broadcast(self, message: Message) -> int:
        """Send a control message to every peer and return how many links queued it.

        Raises:
            PeerProtocolError: The message cannot be encoded, or is too large.
        """
        data = encode(message)
        return sum(link.send_control(data) for link in list(self._links.values()))

    def send(self, host: str, message: Message) -> bool:
        """Send a control message to one peer; return False if there is no link.

        Raises:
            PeerProtocolError: The message cannot be encoded, or is too large.
        """
        link = self._links.get(host)
        return link is not None and link.send_control(encode(message))

    async def forward(
        self, incarnation: int, req: ForwardRequest, timeout_s: float
    ) -> ForwardReply:
        """Send a request to the holder of its key, once.

        Raises:
            PeerUnreachableError: No reply came; see its ``sent`` and ``gone``.
        """
        link = self._find_link(incarnation)
        return await self._pending.send_request(link, req, ForwardReply, timeout_s)

    async def outcome(
        self, incarnation: int, req: OutcomeRequest, timeout_s: float
    ) -> OutcomeReply:
        """Ask the holder of a key for its state.

        Raises:
            PeerUnreachableError: No reply came.
        """
        link = self._find_link(incarnation)
        return await self._pending.send_request(link, req, OutcomeReply, timeout_s)

    async def accept(self, conn: Connection) -> None:
        """Authenticate and serve an accepted connection until it ends."""
        if self._closed or self._accepting_handshakes >= MAX_HANDSHAKES:
            await conn.close(CLOSE_STATUS_CODE, LinkFault.BUSY.value)
            return
        link = await self._open_link(conn, None)
        if link is not None:
            await self._run_link(link)

    def _find_link(self, incarnation: int) -> PeerLink:
        for link in self._links.values():
            if link.peer.incarnation == incarnation and link.is_usable:
                return link
        is_replaced = incarnation in self._replaced_incarnations
        raise PeerUnreachableError("there is no link", sent=False, gone=is_replaced)

    def _add_dialler(self, host: ListedHost) -> None:
        dialler = Dialler(
            host,
            self.identity.host < host.name,
            self.options,
            self._timer,
            self._rng,
            self._dial_handshake_slots,
            self._open_link,
            self._run_link,
            self._handler.on_link_fault,
        )
        self._diallers[host.name] = dialler
        dialler.start(no_link=host.name not in self._links)

    async def _open_link(
        self, conn: Connection, expected_host: str | None
    ) -> PeerLink | None:
        """Authenticate a connection; refuse it and return None if that fails."""
        try:
            peer = await self._authenticate(conn, expected_host)
            link = self._make_link(conn, peer, expected_host is not None)
            self._check_and_add(link)
        except PeerProtocolError as exc:
            await self._reject(conn, expected_host, exc.fault, str(exc))
            return None
        except (ConnectionClosed, TimeoutError) as exc:
            reason = f"handshake: {exc!r}"
            await self._reject(conn, expected_host, LinkFault.LOST, reason)
            return None
        return link

    async def _run_link(self, link: PeerLink) -> None:
        """Run a link until it closes."""
        try:
            self._on_link_established(link)
            await link.run()
        finally:
            self._remove_link(link)

    async def _reject(
        self,
        conn: Connection,
        expected_host: str | None,
        fault: LinkFault,
        reason: str,
    ) -> None:
        host = expected_host or ""
        if fault is LinkFault.WRONG_HOST and host not in self._links:
            # Another host now uses the address listed for this host.
            known = self._last_incarnation.get(host)
            if known is not None:
                self._mark_replaced(known)
        self._handler.on_link_fault(host, fault, reason)
        await conn.close(CLOSE_STATUS_CODE, fault.value)

    async def _authenticate(
        self, conn: Connection, expected_host: str | None
    ) -> PeerIdentity:
        if expected_host is not None:
            return await self._authenticator.dial(conn, expected_host)
        self._accepting_handshakes += 1
        try:
            return await self._authenticator.accept(conn)
        finally:
            self._accepting_handshakes -= 1

    def _make_link(
        self, conn: Connection, peer: PeerIdentity, is_dialled: bool
    ) -> PeerLink:
        # The limit before authentication is small. The library applies a new limit
        # only from the second frame that it parses after the change.
        conn.protocol.max_message_size = MAX_FORWARD_BYTES
        return PeerLink(
            conn,
            peer,
            is_dialled,
            self.options,
            self._timer,
            self.traffic,
            self._on_frame,
        )

    def _check_and_add(self, link: PeerLink) -> None:
        peer = link.peer
        if self._closed:
            raise PeerProtocolError(LinkFault.STOPPING, "the daemon is stopping")
        if peer.incarnation in self._replaced_incarnations:
            raise PeerProtocolError(
                LinkFault.INCARNATION_GONE, "this incarnation was replaced"
            )
        known = self._last_incarnation.get(peer.host)
        if known is not None and known != peer.incarnation:
            self._mark_replaced(known)
        old = self._links.get(peer.host)
        if old is not None and not self._should_replace(link, old):
            raise PeerProtocolError(
                LinkFault.REPLACED, "another link to this peer is preferred"
            )
        self._last_incarnation[peer.host] = peer.incarnation
        self._links[peer.host] = link
        if old is not None:
            self._retire(
                old, is_same_incarnation=old.peer.incarnation == peer.incarnation
            )
        link.is_new = old is None or old.peer != peer

    def _on_link_established(self, link: PeerLink) -> None:
        dialler = self._diallers.get(link.peer.host)
        if dialler is not None:
            dialler.set_linked(True)
        if link.is_new:
            self._handler.on_peer_up(link.peer)
        self._send_heartbeat(link)

    def _should_replace(self, new: PeerLink, old: PeerLink) -> bool:
        """Return True if the new link of a host should replace the old one.

        Of two links established simultaneously, both sides keep the one that the
        host with the smaller name dialled.
        """
        if not old.is_usable or new.peer.incarnation != old.peer.incarnation:
            return True
        if new.is_dialled == old.is_dialled:
            return True
        if self._timer.now() - old.last_received_s > self.options.idle_timeout_s / 2:
            return True
        return new.is_dialled == (self.identity.host < new.peer.host)

    def _retire(self, old: PeerLink, is_same_incarnation: bool) -> None:
        if not is_same_incarnation:
            self._handler.on_peer_down(old.peer, True)
            self._pending.fail_requests(old, True)
            old.close(LinkFault.REPLACED, "replaced by another incarnation")
            return
        # Replies may still be in transit on the old link.
        self._retired.add(old)
        self._timer.call_later(
            RETIRE_DELAY_S,
            lambda: old.close(
                LinkFault.REPLACED, "replaced by another link to this peer"
            ),
        )

    def _mark_replaced(self, incarnation: int) -> None:
        self._replaced_incarnations[incarnation] = None
        self._last_sent_seq.pop(incarnation, None)
        if len(self._replaced_incarnations) > MAX_REPLACED_INCARNATIONS:
            self._replaced_incarnations.popitem(last=False)

    def _remove_link(self, link: PeerLink) -> None:
        self._retired.discard(link)
        is_replaced = link.peer.incarnation in self._replaced_incarnations
        self._pending.fail_requests(link, is_replaced)
        fault = link.fault
        if fault is not None:
            self._handler.on_link_fault(link.peer.host, fault.fault, str(fault))
        if self._links.get(link.peer.host) is not link:
            return
        del self._links[link.peer.host]
        self._handler.on_peer_down(link.peer, is_replaced)
        dialler = self._diallers.get(link.peer.host)
        if dialler is not None:
            dialler.set_linked(False)

    def _tick(self) -> None:
        now = self._timer.now()
        for link in list(self._links.values()):
            if now - link.last_received_s > self.options.idle_timeout_s:
                link.abort(LinkFault.IDLE, "no frame received within the idle timeout")
            elif now - link.last_heartbeat_sent_s >= self._max_heartbeat_age_s(link):
                self._send_heartbeat(link)

    def _max_heartbeat_age_s(self, link: PeerLink) -> float:
        share = DIALLED_HEARTBEAT_SHARE if link.is_dialled else ACCEPTED_HEARTBEAT_SHARE
        return share * self.options.heartbeat_period_s

    def _answer_heartbeat(self, link: PeerLink) -> None:
        if not link.is_open:
            # The peer has raised its size limit. It parses this heartbeat first, so
            # the new limit applies to all later frames.
            self._send_heartbeat(link)
            link.open()
            return
        age_s = self._timer.now() - link.last_heartbeat_sent_s
        if (
            not link.is_dialled
            and age_s >= ANSWER_HEARTBEAT_SHARE * self.options.heartbeat_period_s
        ):
            self._send_heartbeat(link)

    def _send_heartbeat(self, link: PeerLink) -> None:
        if link.is_heartbeat_queued():
            return
        heartbeat = self._handler.make_heartbeat(link.peer)
        # Sequence numbers continue over all links to an incarnation, so that an echo
        # cannot refer to a heartbeat of an earlier link.
        seq = self._last_sent_seq.get(link.peer.incarnation, 0) + 1
        self._last_sent_seq[link.peer.incarnation] = seq
        self._handler.on_heartbeat_sent(link.peer, seq)
        link.send_heartbeat(heartbeat, seq)

    def _on_frame(self, link: PeerLink, frame: Frame) -> None:
        message = frame.message
        if isinstance(message, Hello):
            raise PeerProtocolError(LinkFault.UNEXPECTED, "a second Hello")
        if isinstance(message, (ForwardRequest, OutcomeRequest)):
            self._request_server.serve(link, frame.correlation, message)
        elif isinstance(message, (ForwardReply, OutcomeReply)):
            if not self._pending.resolve(link, frame.correlation, message):
                self.traffic.replies_dropped += 1
        elif link.peer.incarnation not in self._replaced_incarnations:
            self._handler.on_message(link.peer, message)
            if isinstance(message, Heartbeat):
                self._answer_heartbeat(link)
