"""Membership, load reports and slot requests between daemons."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..desired import NO_POSITION, EntryHost, HostFacts, TablePosition
from ..logs import EventSampler, log_event
from ..neighbours import (
    BackendObservation,
    CrashReport,
    Hello,
    HostReport,
    IdleSummary,
    MemberList,
    Message,
    NeighbourEndpoint,
    NeighbourTable,
    RateLimitReport,
    SlotOffer,
    SlotRelease,
    SlotRequest,
)
from ..placing import (
    BackendLoad,
    BackendLoadTable,
    GroupMembers,
    Selection,
    SelectionRequest,
)
from ..relay import CrashWatch, PermitAnswer, RateLimitTracker, ReservedSlot
from ..timing import Subscription, TimerService, boot_time_s
from ._crash_exchange import CrashExchange
from ._rate_limit_exchange import RateLimitExchange
from ._slot_broker import SlotBroker, make_first_token
from ._unanswering_hosts import UnansweringHosts

REPORT_PERIOD_S = 0.25  # a neighbour counts as silent after three lost reports
MAX_REPORTS_PER_S = 120.0  # sent by one host; many neighbours get fewer reports each
MAX_REPORT_PERIOD_S = 0.45
LOCAL_SUMMARY_PERIOD_S = 0.2  # to other groups of the data centre
REGION_SUMMARY_PERIOD_S = 0.5  # to other data centres; this traffic is billed by volume
READER_AUDIENCE_COUNT = 2  # hosts per group, so that one of them may be down
HELLO_PERIOD_S = 1.0
MAX_HELLO_COUNT = 5


class NeighbourHub:
    """Exchanges reports with neighbours and maintains the list of known hosts.

    Args:
        facts: Settings of this host.
        incarnation: Start time of this daemon, Unix time in milliseconds.
        timer: Source of time.
        rng: Chooses the recipients of slot requests and idle summaries.
        book: Loads of the backend servers.
        neighbours: Hosts of this group.
        other_readers: Store readers in other groups of the data centre.
        sampler: Logs sampled events.
        positions: Returns the position of the copy of each table.
        store_age_s: Returns the age of this host's rows: the time since they were last
            known to be current.
        is_reader: Returns whether this host reads the store.
        on_capacity: Called with each service that may have free capacity.
        on_report: Called after a report of newer rows.
        reserve_slot: Reserves a slot at a backend server here for another group.
        cancel_reservation: Releases such a slot.
        issue_permit: Issues a permit for a rate-limited server to a neighbour.
        on_forgotten: Called with the name of a host that was removed as silent.
        rate_limits: Applies the rate limits that neighbours report.
        crash_watch: Counts the crashes under requests.
        limit_clock: Clock of rate limits, in seconds.

    Attributes:
        is_leaving: Whether this daemon is stopping.
    """

    __slots__ = (
        "is_leaving",
        "waiting",
        "_facts",
        "_slot_broker",
        "_unanswering",
        "_groups",
        "_other_readers",
        "_is_reader",
        "_sampler",
        "_rng",
        "_incarnation",
        "_timer",
        "_book",
        "_neighbours",
        "_endpoint",
        "_positions",
        "_store_age_s",
        "_on_capacity",
        "_on_report",
        "_on_forgotten",
        "_hosts",
        "_seq",
        "_changed_backends",
        "_observations",
        "_idle_summaries",
        "_is_flush_scheduled",
        "_subs",
        "_silent_hosts",
        "_hellos_left",
        "_rate_limits",
        "_crashes",
    )

    def __init__(
        self,
        facts: HostFacts,
        incarnation: int,
        timer: TimerService,
        rng: random.Random,
        book: BackendLoadTable,
        neighbours: NeighbourTable,
        other_readers: NeighbourTable,
        sampler: EventSampler,
        positions: Callable[[], dict[str, TablePosition]],
        store_age_s: Callable[[], float],
        is_reader: Callable[[], bool],
        on_capacity: Callable[[str], None],
        on_report: Callable[[], None],
        reserve_slot: Callable[..., Awaitable[Selection | None]],
        cancel_reservation: Callable[[tuple[str, int]], None],
        issue_permit: Callable[..., Awaitable[PermitAnswer]],
        on_forgotten: Callable[[str], None],
        rate_limits: RateLimitTracker,
        crash_watch: CrashWatch,
        limit_clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.is_leaving = False
        self._endpoint = NeighbourEndpoint(self._on_message, sampler)
        self._facts = facts
        self._groups = book.groups
        self._other_readers = other_readers
        self._is_reader = is_reader
        self._sampler = sampler
        self._rng = rng
        self._incarnation = incarnation
        self._timer = timer
        self._book = book
        self._neighbours = neighbours
        self._positions = positions
        self._store_age_s = store_age_s
        self._on_capacity = on_capacity
        self._on_report = on_report
        self._unanswering = UnansweringHosts(timer.now)
        self._slot_broker = SlotBroker(
            timer,
            rng,
            sampler,
            self._endpoint,
            reserve_slot,
            cancel_reservation,
            issue_permit,
            neighbours.find_host,
            limit_clock,
            make_first_token(incarnation, rng),
            lambda *limit: self._rate_limits.apply_offer(*limit),
            self._unanswering,
        )
        self._rate_limits = RateLimitExchange(
            facts.name,
            facts.data_centre,
            limit_clock,
            rng,
            book,
            rate_limits,
            sampler,
            self._endpoint.send,
            self._list_group_hosts,
            self._data_centre_of,
        )
        self._crashes = CrashExchange(
            facts.name,
            crash_watch,
            timer,
            rng,
            sampler,
            self._endpoint.send,
            self._other_addresses,
            lambda: self._group_addresses(self._groups.own),
        )
        book.permits.members = self._list_members
        self._on_forgotten = on_forgotten
        self._hosts: dict[str, EntryHost] = {
            facts.name: EntryHost(facts.name, facts.address, facts.data_centre)
        }
        self._seq = 0
        self._changed_backends: set[str] = set()
        self._observations: list[BackendObservation] = []
        self._idle_summaries: dict[str, IdleSummary] = {}
        self._is_flush_scheduled = False
        self._subs: list[Subscription] = []
        self._silent_hosts: set[str] = set()
        self._hellos_left = MAX_HELLO_COUNT

    async def start(self) -> None:
        """Open the socket, announce this host and start the periodic messages.

        Raises:
            OSError: The socket cannot be bound.
        """
        await self._endpoint.start(self._facts.address, self._facts.peer_ports[0])
        self._send_hello_to_seeds()
        self._schedule_report()
        self._crashes.start()
        self._subs.append(self._timer.every(HELLO_PERIOD_S, self._send_hello_to_seeds))
        self._subs.append(
            self._timer.every(LOCAL_SUMMARY_PERIOD_S, self._send_local_summaries)
        )
        self._subs.append(
            self._timer.every(REGION_SUMMARY_PERIOD_S, self._send_region_summaries)
        )

    def close(self) -> None:
        """Cancel the periodic messages and close the socket."""
        for sub in self._subs:
            sub.cancel()
        self._endpoint.close()

    @property
    def rank(self) -> int:
        """Number of known hosts of the data centre that precede this one by name."""
        own = self._facts
        return sum(
            host.data_centre == own.data_centre and host.host < own.name
            for host in self._hosts.values()
        )

    @property
    def fleet_size(self) -> int:
        """Number of known hosts, including this one."""
        return len(self._hosts)

    @property
    def unconfirmed_limits(self) -> int:
        """Number of limits that other groups have not confirmed."""
        return len(self._rate_limits.unconfirmed)

    @property
    def ignored_offers(self) -> dict[str, int]:
        """Number of slot offers that were not used, by reason."""
        return self._slot_broker.ignored_offers

    # Membership.

    def _make_hello(self) -> Hello:
        return Hello(self._hosts[self._facts.name], len(self._hosts))

    def _send_hello_to_seeds(self) -> None:
        if self._hellos_left <= 0:
            return
        self._hellos_left -= 1
        addresses = {host for host, _ in self._facts.seeds}
        addresses.discard(self._facts.address)
        self._endpoint.send(self._make_hello(), addresses)

    def add_hosts(self, hosts: list[EntryHost]) -> None:
        """Add hosts that are registered in the store."""
        for item in hosts:
            self._add_host(item)

    def _add_host(self, host: EntryHost) -> None:
        if host.host == self._facts.name:
            return
        known = self._hosts.get(host.host)
        self._hosts[host.host] = host
        if known is None or known.data_centre != host.data_centre:
            self._regroup()
        if self._groups.of_host(host.host) != self._groups.own:
            return
        if known is None or known.address != host.address:
            self._add_neighbour(host)

    def _add_neighbour(self, host: EntryHost) -> None:
        self._neighbours.add(host.host, host.address, self._timer.now())
        log_event("neighbour_known", host=host.host, address=host.address)
        self._endpoint.send(self._make_hello(), [host.address])
        self._endpoint.send(self._make_complete_report(), [host.address])
        self._rate_limits.report_all()

    def _regroup(self) -> None:
        """Recompute the groups and the set of neighbours."""
        by_data_centre: dict[str, list[str]] = {}
        for host in self._hosts.values():
            by_data_centre.setdefault(host.data_centre, []).append(host.host)
        if not self._groups.set_hosts(by_data_centre):
            return
        self._book.regroup()
        for name in list(self._neighbours.neighbours):
            if self._groups.of_host(name) != self._groups.own:
                del self._neighbours.neighbours[name]
                self._book.forget_host(name)
        for host in list(self._hosts.values()):
            is_own = self._groups.of_host(host.host) == self._groups.own
            is_known = (
                host.host in self._neighbours.neighbours
                or host.host == self._facts.name
            )
            if is_own and not is_known:
                self._add_neighbour(host)

    def _list_group_hosts(self, group: str) -> list[EntryHost]:
        """Return the other hosts of a group that do not seem to be gone."""
        hosts = [
            host
            for host in self._hosts.values()
            if self._groups.of_host(host.host) == group
            and host.host != self._facts.name
        ]
        return hosts if group == self._groups.own else self._unanswering.prefer(hosts)

    def _group_addresses(self, group: str) -> list[str]:
        """Return the addresses of the other hosts of a group."""
        return [host.address for host in self._list_group_hosts(group)]

    def _data_centre_of(self, host: str) -> str:
        known = self._hosts.get(host)
        return known.data_centre if known is not None else ""

    def _other_addresses(self) -> list[str]:
        """Return the addresses of all other known hosts."""
        own = self._facts.name
        return [host.address for host in self._hosts.values() if host.host != own]

    def list_remote_addresses(self) -> list[str]:
        """Return the addresses of hosts of other data centres, the nearest first."""
        own, regions = self._facts.data_centre, self._facts.regions
        remote = [host for host in self._hosts.values() if host.data_centre != own]
        self._rng.shuffle(remote)
        is_far = {name: region != regions.get(own) for name, region in regions.items()}
        remote.sort(key=lambda host: is_far.get(host.data_centre, True))
        return [host.address for host in remote]

    def _list_members(self) -> GroupMembers:
        """Return the hosts of this group that can issue permits."""
        live = [
            neighbour.host
            for neighbour in self._neighbours.list_live(self._timer.now())
            if not neighbour.is_leaving
        ]
        known_count = len(self._neighbours.list_staying())
        if not self.is_leaving:
            live.append(self._facts.name)
            known_count += 1
        return GroupMembers(sorted(live), known_count)

    # Messages.

    def _on_message(
        self,
        message: Message,
        sender: str,
    ) -> None:
        self._unanswering.note_heard(sender)
        if isinstance(message, HostReport):
            self._apply_report(message, sender)
        elif isinstance(message, Hello):
            message.host.address = sender
            self._add_host(message.host)
            self._crashes.report_all(sender)
            if message.known_count < len(self._hosts):
                # The list is long, so only senders that miss a host receive it.
                hosts = list(self._hosts.values())
                self._endpoint.send(MemberList(hosts), [sender])
        elif isinstance(message, IdleSummary):
            self._book.record_idle_shares(message.group, message.idle)
            self._idle_summaries[message.group] = message
        elif isinstance(message, RateLimitReport):
            self._rate_limits.apply(message, sender)
        elif isinstance(message, CrashReport):
            self._crashes.apply(message)
        elif isinstance(message, SlotRequest | SlotRelease | SlotOffer):
            self._slot_broker.handle_message(message, sender)
        else:
            for host in message.hosts:
                if host.host not in self._hosts:
                    self._add_host(host)

    def _apply_report(self, report: HostReport, sender: str) -> None:
        if report.data_centre != self._facts.data_centre:
            return
        if report.host not in self._hosts:
            self._add_host(EntryHost(report.host, sender, report.data_centre))
        if self._groups.of_host(report.host) != self._groups.own:
            self._apply_reader_report(report, sender)
            return
        neighbour = self._neighbours.apply_report(report, sender, self._timer.now())
        if neighbour is None:
            return
        if report.host in self._silent_hosts:
            self._silent_hosts.discard(report.host)
            log_event("neighbour_regained", host=report.host)
        for summary in report.idle_summaries:
            self._book.record_idle_shares(summary.group, summary.idle)
        for service in self._book.apply_report(report):
            self._on_capacity(service)
        own = self._positions()
        if any(
            position > own.get(table, NO_POSITION)
            for table, position in report.positions.items()
        ):
            self._on_report()

    def _apply_reader_report(self, report: HostReport, sender: str) -> None:
        """Apply a report of the store reader in another group."""
        if (
            self._other_readers.apply_report(report, sender, self._timer.now())
            is not None
        ):
            self._on_report()

    def _report_to_other_groups(self) -> None:
        """Report the positions of this reader to the first hosts of other groups."""
        if not self._is_reader():
            return
        addresses_by_group: dict[str, list[str]] = {}
        for name in sorted(self._hosts):
            host = self._hosts[name]
            group = self._groups.of_host(name)
            if host.data_centre == self._facts.data_centre and (
                group != self._groups.own
            ):
                addresses_by_group.setdefault(group, []).append(host.address)
        addresses = [
            address
            for found in addresses_by_group.values()
            for address in found[:READER_AUDIENCE_COUNT]
        ]
        if addresses:
            self._endpoint.send(self._make_complete_report(), addresses)

    # Idle summaries, sent to the other groups of the region by the first in rank.

    def _send_local_summaries(self) -> None:
        self._send_summaries(is_local=True)

    def _send_region_summaries(self) -> None:
        self._send_summaries(is_local=False)

    def _send_summaries(self, *, is_local: bool) -> None:
        own = self._groups.own
        live = self._neighbours.list_live(self._timer.now())
        if self.is_leaving or any(n.host < self._facts.name for n in live):
            return
        by_group: dict[str, list[EntryHost]] = {}
        for host in self._hosts.values():
            group = self._groups.of_host(host.host)
            region = self._facts.regions.get(host.data_centre)
            in_own_data_centre = host.data_centre == self._facts.data_centre
            if (
                group != own
                and region == self._facts.region
                and in_own_data_centre == is_local
            ):
                by_group.setdefault(group, []).append(host)
        summary = IdleSummary(own, self._book.own_idle_percentages())
        for hosts in by_group.values():
            host = self._rng.choice(self._unanswering.prefer(hosts))
            self._endpoint.send(summary, [host.address])

    # Slots in other groups.

    async def request_slot(
        self, req: SelectionRequest, group: str, can_share: bool, max_wait_s: float
    ) -> ReservedSlot | None:
        """Request a slot at a backend server of another group."""
        hosts = [
            host
            for host in self._hosts.values()
            if self._groups.of_host(host.host) == group
        ]
        return await self._slot_broker.request_slot(
            req, group, hosts, can_share, max_wait_s
        )

    async def request_permit(
        self, req: SelectionRequest, max_wait_s: float
    ) -> ReservedSlot | None:
        """Request a permit for a rate-limited server from its coordinator."""
        now_s = self._timer.now()
        name = self._book.permits.coordinator(req.service, now_s)
        host = self._hosts.get(name)
        if host is None or name == self._facts.name:
            return None
        return await self._slot_broker.request_slot(
            req, self._groups.own, [host], True, max_wait_s, is_permit=True
        )

    def report_limit(self, load: BackendLoad, address: str) -> None:
        """Report the limit of a server to a host that offered it without a permit."""
        self._rate_limits.report_without_permit(load, address)

    def release(self, slot: ReservedSlot) -> None:
        """Release a slot that another group reserved."""
        self._slot_broker.release_slot(slot)

    # Reports.

    def notify_change(
        self, load: BackendLoad, observation: BackendObservation | None
    ) -> None:
        """Queue a change of a backend server for one report per loop iteration."""
        self._changed_backends.add(load.entry.id)
        if observation is not None:
            self._observations.append(observation)
            if observation.cold_left_s > 0.0:
                self._rate_limits.report_cold(load, self._timer.now())
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def report_positions(self) -> None:
        """Report at once the positions of this host's copies of the tables."""
        self._send_changes()
        self._report_to_other_groups()

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        self._send_changes()

    def _send_changes(self) -> None:
        """Report the changed backend servers and what is pending to the neighbours."""
        loads = self._book.loads
        in_flight = {
            id: loads[id].own_in_flight for id in self._changed_backends if id in loads
        }
        self._send_pending(self._make_report(in_flight, is_complete=False))

    def _send_pending(self, report: HostReport) -> None:
        """Send a report to all neighbours, with the pending observations."""
        report.observations = self._observations
        report.idle_summaries = list(self._idle_summaries.values())
        self._changed_backends = set()
        self._observations = []
        self._idle_summaries = {}
        self._endpoint.send(
            report, [n.address for n in self._neighbours.neighbours.values()]
        )

    def _make_complete_report(self) -> HostReport:
        """Return a report of all backend servers, without pending observations."""
        in_flight = {
            id: load.own_in_flight
            for id, load in self._book.loads.items()
            if load.own_in_flight
        }
        return self._make_report(in_flight, is_complete=True)

    def _make_report(
        self, in_flight: dict[str, int], *, is_complete: bool
    ) -> HostReport:
        self._seq += 1
        return HostReport(
            self._facts.name,
            self._incarnation,
            self._facts.data_centre,
            self._seq,
            store_age_s=min(1e6, self._store_age_s()),
            positions=self._positions(),
            is_leaving=self.is_leaving,
            is_complete=is_complete,
            in_flight=in_flight,
        )

    def _schedule_report(self) -> None:
        count = len(self._neighbours.neighbours)
        period_s = min(
            MAX_REPORT_PERIOD_S, max(REPORT_PERIOD_S, count / MAX_REPORTS_PER_S)
        )
        self._subs[:1] = [self._timer.call_later(period_s, self._send_periodic_report)]

    def _send_periodic_report(self) -> None:
        self._schedule_report()
        if self._neighbours.neighbours:
            self._send_pending(self._make_complete_report())
            self._rate_limits.report_all()
        self._rate_limits.repeat_unconfirmed()
        self._report_to_other_groups()
        self._check_silence()

    def _check_silence(self) -> None:
        now_s = self._timer.now()
        live = {neighbour.host for neighbour in self._neighbours.list_live(now_s)}
        for host, neighbour in self._neighbours.neighbours.items():
            if host in live or host in self._silent_hosts or not neighbour.incarnation:
                continue
            self._silent_hosts.add(host)
            log_event(
                "neighbour_silent", host=host, silent_s=now_s - neighbour.last_report_s
            )
            self._book.forget_host(host)
        for host in self._neighbours.remove_expired(now_s):
            self._silent_hosts.discard(host)
            self._hosts.pop(host, None)
            self._regroup()
            log_event("neighbour_forgotten", host=host)
            self._on_forgotten(host)
