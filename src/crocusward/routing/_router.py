"""Router that reserves a backend server for each request."""

import random
from collections.abc import Callable, Mapping, Sequence

from ..errors import Refusal, RefusalCode
from ..invariants import Invariants
from ..limits import HostCounter
from ..model import Backend, BackendAnswer, Service
from ..peer import (
    BackendCold,
    Message,
    RateLimitPermit,
    RateLimitPermitRequest,
    RateLimitReport,
    SlowStartPermit,
    SlowStartPermitRequest,
    SlowStartReport,
)
from ..timing import TimerService, boot_time_s
from ._admission_queue import RETRY_AFTER_S, AdmissionQueue, make_deadline_refusal
from ._backend_table import BackendTable
from ._backend_view import CROSS_REGION_RTT_S, BackendView
from ._health_tracker import MAX_PROBE_AGE_S, HealthTracker
from ._link_budget import LinkBudget
from ._options import RoutingOptions
from ._policies import policies
from ._probe_scheduler import ProbeScheduler
from ._rate_limits import FleetRateLimits
from ._selector import RegionAwareSelector
from ._slow_start import SlowStart
from ._start_guard import StartGuard
from ._types import ExchangeResult, Reservation, RouteRequest


class Router:
    """Selects backend servers and queues requests while all are at their limits.

    Attributes:
        link: Byte budget for the link between regions.
        table: State of the backend servers.
        slow_start: Slow start of the backend servers.
        rate_limits: Rate limits that backend servers name.

    Args:
        timer: Source of time.
        rng: Source of randomness.
        host: Name of this host on the platform's list.
        region: Region of this host.
        policy: Name of a routing policy.
        share: Number of entry hosts.
        region_share: Number of entry hosts of this region.
        invariants: Receives the checks of the invariants.
        broadcast: Sends a message to all peers.
        send: Sends a message to one peer.
        link: Byte budget for the link between regions.
        options: Limits of probing and queueing.
        faults: Names of injected faults, to test the checks.
        limit_clock: Clock of rate limits in seconds; goes on while the host is
            suspended.

    Raises:
        CrocusError: There is no such policy.
    """

    __slots__ = (
        "link",
        "table",
        "slow_start",
        "rate_limits",
        "_timer",
        "_region",
        "_selector",
        "_health",
        "_probe_scheduler",
        "_start_guard",
        "_admission_queue",
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
        send: Callable[[str, Message], object],
        link: LinkBudget | None = None,
        options: RoutingOptions | None = None,
        faults: frozenset[str] = frozenset(),
        limit_clock: Callable[[], float] = boot_time_s,
    ) -> None:
        options = options if options is not None else RoutingOptions()
        self._timer = timer
        self._region = region
        self.link = link if link is not None else LinkBudget(timer, share)
        self.slow_start = SlowStart(timer, host, share, broadcast)
        self.rate_limits = FleetRateLimits(
            timer, limit_clock, host, region_share, broadcast, send
        )
        self.table = BackendTable(
            timer, share, region_share, self.slow_start, self.rate_limits, faults
        )
        selected_policy = policies.get(policy)
        self._health = HealthTracker(
            timer, self.table, self.slow_start, is_capped=selected_policy.has_queue
        )
        self._probe_scheduler = ProbeScheduler(
            timer,
            rng,
            share,
            region_share,
            invariants,
            probe_share=options.probe_share,
            is_flooding="probe-flood" in faults,
        )
        self._selector = RegionAwareSelector(
            region, selected_policy, self.link, rng, faults
        )
        self._start_guard = StartGuard(
            region,
            self.table,
            self.slow_start,
            self.rate_limits,
            self._selector,
            invariants,
        )
        self._admission_queue = AdmissionQueue(
            timer,
            self.table,
            self._health,
            self._selector,
            self._reserve,
            self._release,
            self.slow_start,
            self.rate_limits,
            options,
        )

    # Membership and operator actions

    def set_backends(self, backends: Sequence[Backend], leaving: set[str]) -> None:
        """Replace the platform's list of backend servers.

        Args:
            backends: All listed servers, including those that are leaving.
            leaving: Ids of the servers that are leaving.
        """
        self.table.set_backends(backends, leaving)
        self._update_slot_counts()
        self._admission_queue.admit_all()

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Replace the configured services."""
        self.table.set_services(services)
        self._update_slot_counts()
        self._admission_queue.admit_all()

    def set_out_of_service(self, data_centres: set[str], backend_ids: set[str]) -> None:
        """Replace what operators took out of service, including holds.

        Args:
            data_centres: Names of data centres.
            backend_ids: Ids of backend servers.
        """
        self.table.set_out_of_service(data_centres, backend_ids)
        self._admission_queue.admit_all()

    def set_region_hosts(self, hosts_by_region: Mapping[str, Sequence[str]]) -> None:
        """Replace the entry hosts of each region."""
        self.rate_limits.set_hosts(hosts_by_region)
        if self.slow_start.set_hosts(hosts_by_region):
            self.table.refresh()
            self._admission_queue.admit_all()

    def set_cross_region_allowed(self, is_allowed: bool) -> None:
        """Allow or forbid new requests to other regions."""
        self._selector.can_cross_regions = is_allowed
        self._admission_queue.admit_all()

    # Requests

    async def acquire(self, req: RouteRequest) -> Reservation:
        """Reserve a backend server, after a wait in the fair queue if necessary.

        Raises:
            Refusal: ``no_backend``, ``queue_full``, ``queue_timeout`` or
                ``deadline_exceeded``; the request was not sent.
        """
        now_s = self._timer.now()
        if now_s >= req.deadline_s:
            raise make_deadline_refusal()
        service = self.table.services.get(req.service)
        if service is None:
            raise _make_no_backend_refusal(req)
        if self._health.refresh(now_s):
            self._admission_queue.admit_all()
        if not self._admission_queue.count_waiting(req.service):
            view = self._selector.select(req, service, 0, now_s)
            if view is not None:
                return self._reserve(view, req)
        if not self._selector.should_wait(req, service):
            raise _make_no_backend_refusal(req)
        return await self._admission_queue.wait(req, now_s)

    def start(self, reservation: Reservation) -> bool:
        """Check a reservation immediately before the first byte is written.

        Returns:
            False if another server must be acquired; the reservation is released.
        """
        if reservation.is_released:
            return False
        now_s = self._timer.now()
        view = reservation.view
        if not self._start_guard.can_start(view, reservation, now_s):
            self._release(reservation)
            self._admission_queue.admit(view.service)
            return False
        self._start_guard.check_invariants(view, reservation, now_s)
        reservation.started_s = now_s
        reservation.asked_s = self.rate_limits.now()
        return True

    def finish(self, reservation: Reservation, result: ExchangeResult) -> None:
        """Release a reservation and record the result; a second call is ignored."""
        if reservation.is_released:
            return
        self._release(reservation)
        view = reservation.view
        if reservation.started_s >= 0.0:
            link_time_s = (
                CROSS_REGION_RTT_S if view.backend.region != self._region else 0.0
            )
            self._health.record_result(view, result, reservation.started_s, link_time_s)
            if result.answer is not None:
                self._observe_rate_limit(
                    view, result.answer, reservation.asked_s, result.request_id
                )
        self._admission_queue.admit(view.service)

    # Peers and probes

    def on_peer_message(self, host: str, message: Message) -> None:
        """Apply a peer's message on slow start or rate limits of backend servers."""
        changed: list[str] = []
        if isinstance(message, SlowStartReport):
            changed = self.slow_start.on_report(host, message)
        elif isinstance(message, SlowStartPermit):
            if self.slow_start.on_grant(host, message):
                changed = [message.backend]
        elif isinstance(message, SlowStartPermitRequest):
            self.slow_start.on_claim(
                host, message, is_idle=self._is_idle(message.backend)
            )
        elif isinstance(message, BackendCold):
            view = self.table.views.get(message.backend)
            size = len(view.service.views) if view is not None else 1
            if self.slow_start.on_cold(host, message, size):
                changed = [message.backend]
        elif isinstance(message, RateLimitReport):
            changed = self._merge_rate_limits(host, message)
        elif isinstance(message, RateLimitPermitRequest):
            self.rate_limits.on_request(host, message)
        elif isinstance(message, RateLimitPermit):
            if self.rate_limits.on_permit(message):
                changed = [message.backend]
        if changed:
            self.table.refresh_limits(changed)
            self._admission_queue.admit_all()

    def _merge_rate_limits(self, host: str, message: RateLimitReport) -> list[str]:
        changed = []
        for entry in message.entries:
            view = self.table.views.get(entry.backend)
            if view is None:
                continue
            if self.rate_limits.merge(host, view.backend, entry):
                changed.append(entry.backend)
        return changed

    def _observe_rate_limit(
        self, view: BackendView, answer: BackendAnswer, asked_s: float, id: str
    ) -> None:
        if self.table.views.get(view.backend.id) is not view:
            return
        if self.rate_limits.observe(view.backend, answer, asked_s, id):
            self.table.refresh_limit(view, self._timer.now())

    def _is_idle(self, backend: str) -> bool:
        view = self.table.views.get(backend)
        if view is None:
            return True
        return view.in_flight == 0 and not self._admission_queue.count_waiting(
            view.service.name
        )

    def make_slow_start_report(self, is_full: bool) -> SlowStartReport:
        """Return the slow start of all servers, or of those where it changes."""
        return self.slow_start.make_report(is_full)

    def make_rate_limit_report(self) -> RateLimitReport:
        """Return the rate limits in force, for a peer that was just linked."""
        return self.rate_limits.make_report()

    def next_probe(self) -> Backend | None:
        """Return the server to probe now, or None if none is due."""
        view = self._probe_scheduler.next_target(
            self.table.list_probe_targets(self._region)
        )
        return view.backend if view is not None else None

    def record_probe(self, backend: Backend, answer: BackendAnswer | None) -> None:
        """Record the answer to a probe; None means that no answer arrived.

        A probe can close a server to new requests but never opens one.
        """
        view = self.table.views.get(backend.id)
        if view is not None:
            self._health.record_probe(view, answer)
            if answer is not None:
                asked_s = self.rate_limits.now() - MAX_PROBE_AGE_S
                self._observe_rate_limit(view, answer, asked_s, "")

    def _reserve(self, view: BackendView, req: RouteRequest) -> Reservation:
        view.in_flight += 1
        if view.backend.region != self._region:
            self.link.take(req.bytes)
        reservation = Reservation(view, req.regions)
        if self.rate_limits.is_limited(view.backend.id):
            if self.rate_limits.take(view.backend.id):
                reservation.permit_s = self.rate_limits.now()
            self.table.refresh_limit(view, self._timer.now())
        return reservation

    def _release(self, reservation: Reservation) -> None:
        reservation.is_released = True
        view = reservation.view
        view.in_flight -= 1
        is_listed = self.table.views.get(view.backend.id) is view
        if is_listed and self.rate_limits.is_limited(view.backend.id):
            self.table.refresh_limit(view, self._timer.now())

    def _update_slot_counts(self) -> None:
        views = self.table.views.values()
        local_views = [view for view in views if view.backend.region == self._region]
        total = sum(view.service.slots for view in views)
        self._probe_scheduler.set_slot_counts(
            total, sum(view.service.slots for view in local_views)
        )


def _make_no_backend_refusal(req: RouteRequest) -> Refusal:
    return Refusal(
        RefusalCode.NO_BACKEND,
        f"no backend server of service {req.service!r} is available",
        retry_after_s=RETRY_AFTER_S,
    )
