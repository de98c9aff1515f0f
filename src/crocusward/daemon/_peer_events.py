"""Handles peers and their messages."""

from ..config import ConfigManager, FreshnessTracker
from ..dispatch import Dispatcher, KeyedRunner
from ..errors import CrocusError
from ..limits import RateLimiter
from ..logs import Level, log_event
from ..peer import (
    BackendCold,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Message,
    OfferedRate,
    OutcomeReply,
    OutcomeRequest,
    PeerIdentity,
    RateLimitPermit,
    RateLimitPermitRequest,
    RateLimitReport,
    SlowStartPermit,
    SlowStartPermitRequest,
    SlowStartReport,
)
from ..routing import Router
from ..timing import TimerService
from ._membership import Membership

ROUTING_MESSAGES = (
    BackendCold,
    RateLimitPermit,
    RateLimitPermitRequest,
    RateLimitReport,
    SlowStartPermitRequest,
    SlowStartPermit,
    SlowStartReport,
)
MAX_DEMAND_ENTRIES = 3  # keeps a heartbeat under 100 bytes


class PeerEvents:
    """Connects the inner protocol with the parts of an entry host.

    Args:
        timer: Source of time.
        membership: Told of links and heartbeats.
        config: Handles messages of the configuration.
        currency: Told of heartbeats sent.
        router: Handles messages about warmth.
        limiter: Gives and takes demand by contract.
        dispatcher: Carries out forwarded requests.
        keyed: Answers questions about keys.
    """

    __slots__ = (
        "_timer",
        "_membership",
        "_config",
        "_freshness",
        "_router",
        "_limiter",
        "_dispatcher",
        "_keyed",
        "leaving",
        "send",
    )

    def __init__(
        self,
        timer: TimerService,
        membership: Membership,
        config: ConfigManager,
        freshness: FreshnessTracker,
        router: Router,
        limiter: RateLimiter,
        dispatcher: Dispatcher,
        keyed: KeyedRunner,
    ) -> None:
        self._timer = timer
        self._membership = membership
        self._config = config
        self._freshness = freshness
        self._router = router
        self._limiter = limiter
        self._dispatcher = dispatcher
        self._keyed = keyed
        self.leaving = False
        self.send = _send_nothing

    def make_heartbeat(self, peer: PeerIdentity) -> Heartbeat:
        """Return the state of this host; the link fills in ``seq`` and ``echo``."""
        return self._config.make_heartbeat(
            0, 0, leaving=self.leaving, offered_rates=self._demand()
        )

    def on_heartbeat_sent(self, peer: PeerIdentity, seq: int) -> None:
        """Note when a heartbeat is sent."""
        self._freshness.heartbeat_sent(peer.host, seq, peer.region)

    def on_message(self, peer: PeerIdentity, message: Message) -> None:
        """Handle a message of a peer."""
        if isinstance(message, Heartbeat):
            self._take_heartbeat(peer, message)
        elif isinstance(message, ROUTING_MESSAGES):
            self._router.on_peer_message(peer.host, message)
        else:
            self._take_config(peer, message)

    def on_peer_up(self, peer: PeerIdentity) -> None:
        """Note a link and send the peer what it may not know."""
        self._config.link_opened(peer.host)
        self._membership.linked(peer)
        self.send(peer.host, self._router.make_slow_start_report(True))
        self.send(peer.host, self._router.make_rate_limit_report())
        log_event("peer_up", peer=peer.host, region=peer.region)

    def on_peer_down(self, peer: PeerIdentity, gone: bool) -> None:
        """Note that no link to a peer is left."""
        self._membership.unlinked(peer)
        log_event("peer_down", Level.WARNING, peer=peer.host, replaced=gone)

    def on_link_fault(self, host: str, fault: str, reason: str) -> None:
        """Log why a link was closed or could not be made."""
        log_event("link_fault", Level.DEBUG, peer=host, fault=fault, reason=reason)

    async def serve_forward(
        self, peer: PeerIdentity, req: ForwardRequest
    ) -> ForwardReply:
        """Carry out a request whose key this host holds."""
        return await self._dispatcher.handle_forwarded(req)

    async def serve_outcome(
        self, peer: PeerIdentity, req: OutcomeRequest
    ) -> OutcomeReply:
        """Answer with the state of a key."""
        return self._keyed.local_outcome(req.contract, req.key)

    def _demand(self) -> tuple[OfferedRate, ...]:
        offered = self._limiter.offered_rates()
        offered.sort(key=lambda entry: -entry.rate)
        return tuple(offered[:MAX_DEMAND_ENTRIES])

    def _take_heartbeat(self, peer: PeerIdentity, heartbeat: Heartbeat) -> None:
        if heartbeat.leaving:
            self._membership.record_departure(peer)
        else:
            self._membership.record_contact(peer)
        self._config.heartbeat_received(peer.host, peer.region, heartbeat)
        now_s = self._timer.now()
        self._limiter.record_peer_rates(peer.host, list(heartbeat.offered_rates), now_s)

    def _take_config(self, peer: PeerIdentity, message: Message) -> None:
        try:
            self._config.message_received(peer.host, message)
        except CrocusError as exc:
            log_event(
                "peer_message_refused", Level.ERROR, peer=peer.host, code=exc.code
            )


def _send_nothing(host: str, message: Message) -> None:
    """Stand in for the mesh until it is attached."""
