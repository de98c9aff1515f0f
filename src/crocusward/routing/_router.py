"""The router: reserves a place at a backend server for each request."""

import random
from collections.abc import Callable, Mapping, Sequence

from ..errors import Refusal, RefusalCode
from ..invariants import Invariants
from ..limits import HostCounter
from ..model import Backend, BackendAnswer, Service
from ..peer import BackendCold, Message, WarmthClaim, WarmthGrant, WarmthReport
from ..timing import TimerService
from ._chooser import Chooser
from ._health import Health
from ._link import LinkBudget
from ._options import RoutingOptions
from ._policies import policies
from ._probes import ProbeScheduler
from ._starts import StartGuard
from ._table import BackendTable
from ._types import ExchangeResult, Reservation, RouteRequest
from ._view import CROSSING_S, BackendView
from ._waiting import RETRY_AFTER_S, WaitingRoom, deadline_refusal
from ._warmth import Warmth


class Router:
    """Chooses backend servers and keeps requests waiting while none has room.

    Args:
        timer: Source of time.
        rng: Source of randomness.
        host: Name of this host on the platform's list.
        region: Region of this host.
        policy: Name of a routing policy.
        share: Number of entry hosts.
        region_share: Number of entry hosts of this region.
        invariants: Where the guarantees are asserted.
        broadcast: Sends a message to all peers.
        link: Byte budget for the link between regions.
        options: Limits of probing and waiting.
        faults: Names of injected faults, which test the assertions.

    Raises:
        CrocusError: There is no such policy.
    """

    __slots__ = (
        "link",
        "table",
        "warmth",
        "_timer",
        "_region",
        "_chooser",
        "_health",
        "_probes",
        "_starts",
        "_waiting",
    )

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        *,
        host: str,
        region: str,
        policy: str,
        share: HostCounter,
        region_share: HostCounter,
        invariants: Invariants,
        broadcast: Callable[[Message], object],
        link: LinkBudget | None = None,
        options: RoutingOptions | None = None,
        faults: frozenset[str] = frozenset(),
    ) -> None:
        options = options if options is not None else RoutingOptions()
        self._timer = timer
        self._region = region
        self.link = link if link is not None else LinkBudget(timer, share)
        self.warmth = Warmth(timer, host, share, broadcast)
        self.table = BackendTable(timer, share, region_share, self.warmth, faults)
        chosen = policies.get(policy)
        self._health = Health(timer, self.table, self.warmth, is_capped=chosen.queues)
        self._probes = ProbeScheduler(
            timer,
            rng,
            share,
            region_share,
            invariants,
            probe_share=options.probe_share,
            flood="probe-flood" in faults,
        )
        self._chooser = Chooser(region, chosen, self.link, rng, faults)
        self._starts = StartGuard(
            region, self.table, self.warmth, self._chooser, invariants
        )
        self._waiting = WaitingRoom(
            timer,
            self.table,
            self._health,
            self._chooser,
            self._reserve,
            self._give_back,
            self.warmth,
            options,
        )

    # Membership and operators' acts

    def set_backends(self, backends: Sequence[Backend], leaving: set[str]) -> None:
        """Take over the platform's list of backend servers.

        Args:
            backends: All listed servers, leaving ones included.
            leaving: Ids of those that are leaving.
        """
        self.table.set_backends(backends, leaving)
        self._count_slots()
        self._waiting.pump_all()

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Take over the configured services."""
        self.table.set_services(services)
        self._count_slots()
        self._waiting.pump_all()

    def set_out(self, data_centres: set[str], names: set[str]) -> None:
        """Take over what operators took out of service, holds included.

        Args:
            data_centres: Names of data centres.
            names: Ids of backend servers.
        """
        self.table.set_out(data_centres, names)
        self._waiting.pump_all()

    def set_region_hosts(self, hosts_by_region: Mapping[str, Sequence[str]]) -> None:
        """Take over the entry hosts of each region."""
        if self.warmth.set_hosts(hosts_by_region):
            self.table.refresh()
            self._waiting.pump_all()

    def set_cross_region_allowed(self, allowed: bool) -> None:
        """Allow or forbid new work across regions."""
        self._chooser.cross_allowed = allowed
        self._waiting.pump_all()

    # Requests

    async def acquire(self, req: RouteRequest) -> Reservation:
        """Reserve a place, waiting for one in the fair queue if necessary.

        Raises:
            Refusal: ``no_backend``, ``queue_full``, ``queue_timeout`` or
                ``deadline_exceeded``; the request was not sent.
        """
        now_s = self._timer.now()
        if now_s >= req.deadline_s:
            raise deadline_refusal()
        service = self.table.services.get(req.service)
        if service is None:
            raise _no_backend_refusal(req)
        if self._health.refresh(now_s):
            self._waiting.pump_all()
        if not self._waiting.count(req.service):
            view = self._chooser.choose(req, service, 0, now_s)
            if view is not None:
                return self._reserve(view, req)
        if not self._chooser.can_ever(req, service):
            raise _no_backend_refusal(req)
        return await self._waiting.wait(req, now_s)

    def start(self, reservation: Reservation) -> bool:
        """Check a reservation immediately before the first byte is written.

        Returns:
            False if another server must be acquired; the place is given back.
        """
        if reservation.done:
            return False
        now_s = self._timer.now()
        view = reservation.view
        if not self._starts.may_start(view, now_s):
            self._give_back(reservation)
            self._waiting.pump(view.service)
            return False
        self._starts.check(view, reservation, now_s)
        reservation.started_s = now_s
        return True

    def finish(self, reservation: Reservation, result: ExchangeResult) -> None:
        """Give a place back and learn from the result; a second call is ignored."""
        if reservation.done:
            return
        self._give_back(reservation)
        view = reservation.view
        if reservation.started_s >= 0.0:
            crossing_s = CROSSING_S if view.backend.region != self._region else 0.0
            self._health.learn(view, result, reservation.started_s, crossing_s)
        self._waiting.pump(view.service)

    # Peers and probes

    def on_peer_message(self, host: str, message: Message) -> None:
        """Take over what a peer knows of the warmth of backend servers."""
        changed: list[str] = []
        if isinstance(message, WarmthReport):
            changed = self.warmth.on_report(host, message)
        elif isinstance(message, WarmthGrant):
            if self.warmth.on_grant(host, message):
                changed = [message.backend]
        elif isinstance(message, WarmthClaim):
            self.warmth.on_claim(host, message, is_idle=self._is_idle(message.backend))
        elif isinstance(message, BackendCold):
            view = self.table.views.get(message.backend)
            size = len(view.service.views) if view is not None else 1
            if self.warmth.on_cold(host, message, size):
                changed = [message.backend]
        if changed:
            self.table.refresh_limits(changed)
            self._waiting.pump_all()

    def _is_idle(self, backend: str) -> bool:
        view = self.table.views.get(backend)
        if view is None:
            return True
        return view.in_flight == 0 and not self._waiting.count(view.service.name)

    def warmth_report(self, full: bool) -> WarmthReport:
        """Return the state of all servers, or of those whose ramp advances."""
        return self.warmth.report(full)

    def next_probe(self) -> Backend | None:
        """Return the server to probe now, or None if none is due."""
        view = self._probes.next(self.table.probe_targets(self._region))
        return view.backend if view is not None else None

    def probe_result(self, backend: Backend, answer: BackendAnswer | None) -> None:
        """Learn from a probe; None means that no answer came.

        A probe can close a server to traffic but never opens one.
        """
        view = self.table.views.get(backend.id)
        if view is not None:
            self._health.learn_probe(view, answer)

    def _reserve(self, view: BackendView, req: RouteRequest) -> Reservation:
        view.in_flight += 1
        if view.backend.region != self._region:
            self.link.take(req.bytes)
        return Reservation(view, req.regions)

    def _give_back(self, reservation: Reservation) -> None:
        reservation.done = True
        reservation.view.in_flight -= 1

    def _count_slots(self) -> None:
        views = self.table.views.values()
        home = [view for view in views if view.backend.region == self._region]
        total = sum(view.service.slots for view in views)
        self._probes.set_slots(total, sum(view.service.slots for view in home))


def _no_backend_refusal(req: RouteRequest) -> Refusal:
    return Refusal(
        RefusalCode.NO_BACKEND,
        f"no backend server of service {req.service!r} may take the request",
        retry_after_s=RETRY_AFTER_S,
    )
