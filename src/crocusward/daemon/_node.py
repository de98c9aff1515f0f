"""The logic of one entry host, assembled from its parts, without sockets."""

import random

from ..config import ChangeLog, ConfigManager, FreshnessTracker, Replica, ServingMode
from ..dispatch import AttemptRunner, CallRecorder, Dispatcher, KeyedRunner
from ..invariants import Invariants
from ..ledger import ClaimBatcher, KeyIssuer, Ledger
from ..limits import HostCounter, RateLimiter, RetryBudget
from ..logs import Level, log_event
from ..model import FleetConfig
from ..peer import (
    ForwardReply,
    ForwardRequest,
    Message,
    OutcomeReply,
    OutcomeRequest,
    PeerIdentity,
)
from ..routing import LinkBudget, Router
from ..timing import Subscription, TimerService
from ._membership import Membership
from ._options import NodeOptions, NodeSecrets
from ._peer_events import PeerEvents
from ._ports import BackendPort, PeerPort, Platform
from ._probing import Prober

WARMTH_PERIOD_S = 0.25
SERVING_CHECK_PERIOD_S = 0.25


class Node:
    """One entry host.

    The same object runs in the daemon, in tests and in randomised runs.

    Args:
        timer: Source of time.
        rng: Source of randomness.
        identity: Who this daemon is.
        secrets: Secrets of the fleet.
        platform: The platform's services.
        upstream: Reaches backend servers.
        recorder: Receives a record of each request.
        invariants: Where the guarantees are asserted.
        options: Further options.
    """

    __slots__ = (
        "identity",
        "invariants",
        "config",
        "freshness",
        "router",
        "limiter",
        "dispatcher",
        "events",
        "membership",
        "timer",
        "_peers",
        "_prober",
        "_subs",
        "_keyed",
    )

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        identity: PeerIdentity,
        secrets: NodeSecrets,
        platform: Platform,
        upstream: BackendPort,
        recorder: CallRecorder,
        invariants: Invariants,
        options: NodeOptions,
    ) -> None:
        self.identity = identity
        self.invariants = invariants
        self.timer = timer
        self._peers: PeerPort | None = None
        self._subs: list[Subscription] = []
        faults = options.faults
        share = HostCounter(options.max_hosts)
        region_share = HostCounter(options.max_hosts)
        self.config = self._make_config(platform, options)
        self.freshness = self.config.freshness
        self.router = Router(
            timer,
            rng,
            host=identity.host,
            region=identity.region,
            policy=options.policy,
            share=share,
            region_share=region_share,
            invariants=invariants,
            broadcast=self._broadcast,
            send=self._send,
            link=LinkBudget(timer, share, options.link_bits_per_s),
            options=options.routing,
            faults=faults,
            limit_clock=options.limit_clock,
        )
        self.limiter = RateLimiter(timer, share)
        issuer = KeyIssuer(
            secrets.keys,
            identity.host,
            identity.region,
            identity.incarnation,
            timer,
        )
        self._keyed = self._make_keyed(issuer, secrets, platform, options)
        attempts = AttemptRunner(
            timer,
            identity.region,
            self.router,
            upstream,
            self.may_serve,
            RetryBudget(options.retry_share),
            invariants,
            faults,
        )
        self.dispatcher = Dispatcher(
            timer,
            identity.region,
            config=self.config.current,
            may_serve=self.may_serve,
            limiter=self.limiter,
            attempts=attempts,
            keyed=self._keyed,
            issuer=issuer,
            invariants=invariants,
            recorder=recorder,
            entries_of=options.entries_of,
            available=self._is_available,
            faults=faults,
        )
        self.membership = Membership(
            timer,
            identity,
            platform,
            self.router,
            self.config,
            share,
            region_share,
            options.host_poll_s,
        )
        self.events = PeerEvents(
            timer,
            self.membership,
            self.config,
            self.freshness,
            self.router,
            self.limiter,
            self.dispatcher,
            self._keyed,
        )
        self._prober = Prober(timer, self.router, upstream)

    async def start(self, peers: PeerPort) -> None:
        """Begin to follow the platform and the peers.

        Args:
            peers: Reaches peers; its handler is ``events``.
        """
        self._peers = peers
        self.events.send = self._send
        self.config.subscribe(self._config_changed)
        await self.membership.start(peers)
        await self.config.start()
        self._prober.start()
        every = self.timer.every
        self._subs.append(every(WARMTH_PERIOD_S, self._report_warmth))
        self._subs.append(every(SERVING_CHECK_PERIOD_S, self._check_serving))

    def leave(self) -> None:
        """Tell peers that this host is stopping; requests are still served."""
        self.events.leaving = True
        self.dispatcher.leaving = True

    async def stop(self) -> None:
        """End all background work."""
        for sub in self._subs:
            sub.cancel()
        self._prober.stop()
        self.membership.stop()
        await self.config.stop()

    def is_ready(self) -> bool:
        """Return True if the platform may send requests to this host."""
        return self.dispatcher.ready()

    def may_serve(self) -> ServingMode:
        """Return what may be sent now; called immediately before each send."""
        if not self.membership.is_recent():
            return ServingMode.REFUSE
        return self.freshness.may_serve()

    def region_of(self, incarnation: int) -> str:
        """Return the region of a linked incarnation, or ""."""
        return self.membership.region_of(incarnation)

    async def forward(
        self, incarnation: int, message: ForwardRequest, timeout_s: float
    ) -> ForwardReply:
        """Send a request to the holder of its key."""
        assert self._peers is not None
        return await self._peers.forward(incarnation, message, timeout_s)

    async def outcome(
        self, incarnation: int, message: OutcomeRequest, timeout_s: float
    ) -> OutcomeReply:
        """Ask the holder of a key for its state."""
        assert self._peers is not None
        return await self._peers.outcome(incarnation, message, timeout_s)

    def _make_config(self, platform: Platform, options: NodeOptions) -> ConfigManager:
        replica = Replica(
            self.invariants, on_error=_log_config_error, faults=options.faults
        )
        freshness = FreshnessTracker(
            self.timer,
            self.identity.region,
            self.identity.host,
            options.confirmation_s,
        )
        return ConfigManager(
            ChangeLog(platform.table, platform.objects, self.timer),
            replica,
            freshness,
            self.timer,
            self.identity.host,
            send=self._send,
            broadcast=self._broadcast,
            utc_s=options.utc_s,
            on_error=_log_config_error,
            on_holds=self._holds_changed,
            poll_s=options.config_poll_s,
        )

    def _make_keyed(
        self,
        issuer: KeyIssuer,
        secrets: NodeSecrets,
        platform: Platform,
        options: NodeOptions,
    ) -> KeyedRunner:
        ledger = Ledger(self.timer, self.invariants, faults=options.faults)
        claims = ClaimBatcher(
            platform.table,
            self.timer,
            secrets.claims,
            self.identity.incarnation,
            self.identity.host,
            utc_s=options.utc_s,
        )
        return KeyedRunner(
            self.timer, self.identity.region, issuer, ledger, claims, self
        )

    def _send(self, host: str, message: Message) -> None:
        if self._peers is not None:
            self._peers.send(host, message)

    def _broadcast(self, message: Message) -> None:
        if self._peers is not None:
            self._peers.broadcast(message)

    def _report_warmth(self) -> None:
        report = self.router.make_slow_start_report(False)
        if report.entries:
            self._broadcast(report)

    def _check_serving(self) -> None:
        mode = self.may_serve()
        self.router.set_cross_region_allowed(mode is ServingMode.NORMAL)

    def _config_changed(self, old: FleetConfig, new: FleetConfig) -> None:
        self.router.set_services(new.services)
        self._tell_out()
        log_event("config_in_force", version=new.version)

    def _holds_changed(self) -> None:
        self._tell_out()

    def _tell_out(self) -> None:
        config = self.config.current()
        centres = {
            name for name in config.data_centres if config.is_data_centre_out(name)
        }
        centres |= self.config.held_names("data_centre")
        names = set(config.hosts_out)
        names |= self.config.held_names("host") | self.config.held_names("backend")
        self.router.set_out_of_service(centres, names)

    def _is_available(self) -> bool:
        """Return False if this host is stopping or operators took it out."""
        if self.events.leaving:
            return False
        config = self.config.current()
        held = self.config.held_names("host")
        name = self.identity.host
        centre = self.identity.data_centre
        host_out = name in config.hosts_out or name in held
        held_centres = self.config.held_names("data_centre")
        return not (
            host_out or config.is_data_centre_out(centre) or centre in held_centres
        )


def _log_config_error(exc: Exception) -> None:
    log_event("config_error", Level.ERROR, code=getattr(exc, "code", "internal"))
