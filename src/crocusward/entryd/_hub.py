"""Talks to the daemons of the data centre."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..desired import HostFacts, KnownHost
from ..logs import EventSampler, log_event
from ..neighbours import (
    Hello,
    HostReport,
    Introduction,
    LoadDigest,
    Message,
    NeighbourEndpoint,
    NeighbourTable,
    PlaceAsk,
    PlaceDone,
    PlaceOffer,
    Sighting,
)
from ..placing import BackendLoad, BackendLoadTable, Selection, SelectionRequest
from ..relay import KeptPlace
from ..timing import Subscription, TimerService
from ._asks import PlaceAsks

REPORT_PERIOD_S = 0.25  # three missed ones are silence
REPORTS_PER_S = 120.0  # that one host sends; a large data centre reports less often
MAX_REPORT_PERIOD_S = 0.45
NEAR_DIGEST_S = 0.2  # period of digests to other groups of the data centre
DIGEST_S = 0.5  # the same to those of the region, billed by volume
UPSTREAM_HOSTS = 2  # of each group hear of the reader, so that one may be lost
HELLO_PERIOD_S = 1.0
HELLO_ROUNDS = 5


class NeighbourHub:
    """Sends reports, takes reports, and keeps the list of known hosts.

    Args:
        facts: What the settings say.
        incarnation: Start of this daemon, Unix time in milliseconds.
        timer: Source of time.
        rng: Chooses whom to ask.
        book: Loads of the backend servers.
        peers: The neighbours: the hosts of this group.
        upstream: Readers of the data centre in other groups.
        sampler: Logs malformed datagrams.
        versions: Returns the version of each table.
        store_age_s: Returns the time since the last answer of the store.
        is_reader: Returns whether this host reads the store.
        on_room: Called with services that may have room.
        on_report: Called after a report of newer rows.
        offer: Keeps a place at a backend server here for another data centre.
        end_offer: Gives such a place back.
        on_forgotten: Called with a host that has been silent for long.
    """

    __slots__ = (
        "leaving",
        "waiting",
        "_facts",
        "_asks",
        "_groups",
        "_upstream",
        "_is_reader",
        "_sampler",
        "_rng",
        "_incarnation",
        "_timer",
        "_book",
        "_peers",
        "_endpoint",
        "_versions",
        "_store_age_s",
        "_on_room",
        "_on_report",
        "_on_forgotten",
        "_hosts",
        "_seq",
        "_dirty",
        "_sightings",
        "_digests",
        "_flush_due",
        "_subs",
        "_silent",
        "_hello_left",
    )

    def __init__(
        self,
        facts: HostFacts,
        incarnation: int,
        timer: TimerService,
        rng: random.Random,
        book: BackendLoadTable,
        peers: NeighbourTable,
        upstream: NeighbourTable,
        sampler: EventSampler,
        versions: Callable[[], dict[str, int]],
        store_age_s: Callable[[], float],
        is_reader: Callable[[], bool],
        on_room: Callable[[str], None],
        on_report: Callable[[], None],
        offer: Callable[..., Awaitable[Selection | None]],
        end_offer: Callable[[tuple[str, int]], None],
        on_forgotten: Callable[[str], None],
    ) -> None:
        self.leaving = False
        self._endpoint = NeighbourEndpoint(self._on_message, sampler)
        self._facts = facts
        self._groups = book.groups
        self._upstream = upstream
        self._is_reader = is_reader
        self._sampler = sampler
        self._rng = rng
        self._incarnation = incarnation
        self._timer = timer
        self._book = book
        self._peers = peers
        self._versions = versions
        self._store_age_s = store_age_s
        self._on_room = on_room
        self._on_report = on_report
        self._asks = PlaceAsks(timer, rng, sampler, self._endpoint, offer, end_offer)
        self._on_forgotten = on_forgotten
        self._hosts: dict[str, KnownHost] = {
            facts.name: KnownHost(facts.name, facts.address, facts.data_centre)
        }
        self._seq = 0
        self._dirty: set[str] = set()
        self._sightings: list[Sighting] = []
        self._digests: dict[str, LoadDigest] = {}
        self._flush_due = False
        self._subs: list[Subscription] = []
        self._silent: set[str] = set()
        self._hello_left = HELLO_ROUNDS

    async def start(self) -> None:
        """Open the socket and announce this host.

        Raises:
            OSError: The port is in use.
        """
        await self._endpoint.start(self._facts.address, self._facts.peer_ports[0])
        self._greet_seeds()
        self._schedule_report()
        self._subs.append(self._timer.every(HELLO_PERIOD_S, self._greet_seeds))
        self._subs.append(self._timer.every(NEAR_DIGEST_S, self._send_near_digests))
        self._subs.append(self._timer.every(DIGEST_S, self._send_far_digests))

    def close(self) -> None:
        """Stop."""
        for sub in self._subs:
            sub.cancel()
        self._endpoint.close()

    @property
    def rank(self) -> int:
        """Number of known hosts of the data centre that go before this one."""
        own = self._facts
        return sum(
            host.data_centre == own.data_centre and host.host < own.name
            for host in self._hosts.values()
        )

    @property
    def fleet_size(self) -> int:
        """Number of hosts that are known, this one included."""
        return len(self._hosts)

    # Hosts.

    def _hello(self) -> Hello:
        return Hello(self._hosts[self._facts.name], len(self._hosts))

    def _greet_seeds(self) -> None:
        if self._hello_left <= 0:
            return
        self._hello_left -= 1
        addresses = {host for host, _ in self._facts.seeds}
        addresses.discard(self._facts.address)
        self._endpoint.send(self._hello(), addresses)

    def take_hosts(self, hosts: list[KnownHost]) -> None:
        """Add hosts that are registered in the store."""
        for item in hosts:
            self._add(item)

    def _add(self, host: KnownHost) -> None:
        if host.host == self._facts.name:
            return
        known = self._hosts.get(host.host)
        self._hosts[host.host] = host
        if known is None or known.data_centre != host.data_centre:
            self._regroup()
        if self._groups.of_host(host.host) != self._groups.own:
            return
        if known is None or known.address != host.address:
            self._greet(host)

    def _greet(self, host: KnownHost) -> None:
        self._peers.add(host.host, host.address, self._timer.now())
        log_event("neighbour_known", host=host.host, address=host.address)
        self._endpoint.send(self._hello(), [host.address])
        self._endpoint.send(self._report(complete=True), [host.address])

    def _regroup(self) -> None:
        """Work the groups out anew, and who is a neighbour."""
        by_data_centre: dict[str, list[str]] = {}
        for host in self._hosts.values():
            by_data_centre.setdefault(host.data_centre, []).append(host.host)
        if not self._groups.set_hosts(by_data_centre):
            return
        self._book.regroup()
        for name in list(self._peers.peers):
            if self._groups.of_host(name) != self._groups.own:
                del self._peers.peers[name]
                self._book.forget_host(name)
        for host in list(self._hosts.values()):
            is_own = self._groups.of_host(host.host) == self._groups.own
            known = host.host in self._peers.peers or host.host == self._facts.name
            if is_own and not known:
                self._greet(host)

    # Messages.

    def _on_message(
        self,
        message: Message,
        sender: str,
    ) -> None:
        if isinstance(message, HostReport):
            self._take_report(message, sender)
        elif isinstance(message, Hello):
            message.host.address = sender
            self._add(message.host)
            if message.known < len(self._hosts):
                # The list is long; only those who lack a host get it.
                hosts = list(self._hosts.values())
                self._endpoint.send(Introduction(hosts), [sender])
        elif isinstance(message, LoadDigest):
            self._book.record_idle_shares(message.data_centre, message.idle)
            self._digests[message.data_centre] = message
        elif isinstance(message, PlaceAsk | PlaceDone | PlaceOffer):
            self._asks.take(message, sender)
        else:
            for host in message.hosts:
                if host.host not in self._hosts:
                    self._add(host)

    def _take_report(self, report: HostReport, sender: str) -> None:
        if report.data_centre != self._facts.data_centre:
            return
        if report.host not in self._hosts:
            self._add(KnownHost(report.host, sender, report.data_centre))
        if self._groups.of_host(report.host) != self._groups.own:
            self._take_foreign(report, sender)
            return
        peer = self._peers.take(report, sender, self._timer.now())
        if peer is None:
            return
        if report.host in self._silent:
            self._silent.discard(report.host)
            log_event("neighbour_regained", host=report.host)
        for digest in report.digests:
            self._book.record_idle_shares(digest.data_centre, digest.idle)
        for service in self._book.apply_report(report):
            self._on_room(service)
        own = self._versions()
        if any(found > own.get(table, -1) for table, found in report.versions.items()):
            self._on_report()

    def _take_foreign(self, report: HostReport, sender: str) -> None:
        """Take over what the reader of the data centre tells the other groups."""
        if self._upstream.take(report, sender, self._timer.now()) is not None:
            self._on_report()

    def _report_upstream(self) -> None:
        """Tell the first hosts of the other groups what this reader has read."""
        if not self._is_reader():
            return
        audience: dict[str, list[str]] = {}
        for name in sorted(self._hosts):
            host = self._hosts[name]
            group = self._groups.of_host(name)
            if host.data_centre == self._facts.data_centre and (
                group != self._groups.own
            ):
                audience.setdefault(group, []).append(host.address)
        addresses = [a for found in audience.values() for a in found[:UPSTREAM_HOSTS]]
        if addresses:
            self._endpoint.send(self._report(complete=True), addresses)

    # Room in this group, told to the others of the region by the first in rank.

    def _send_near_digests(self) -> None:
        self._send_digests(is_near=True)

    def _send_far_digests(self) -> None:
        self._send_digests(is_near=False)

    def _send_digests(self, *, is_near: bool) -> None:
        own = self._groups.own
        live = self._peers.live(self._timer.now())
        if self.leaving or any(peer.host < self._facts.name for peer in live):
            return
        others: dict[str, list[KnownHost]] = {}
        for host in self._hosts.values():
            group = self._groups.of_host(host.host)
            region = self._facts.regions.get(host.data_centre)
            in_place = host.data_centre == self._facts.data_centre
            if group != own and region == self._facts.region and in_place == is_near:
                others.setdefault(group, []).append(host)
        digest = LoadDigest(own, self._book.own_idle_percentages())
        for hosts in others.values():
            self._endpoint.send(digest, [self._rng.choice(hosts).address])

    # Places in other groups.

    async def ask(
        self, place: SelectionRequest, group: str, shared: bool, wait_s: float
    ) -> KeptPlace | None:
        """Ask a host of another group for a place at a server there."""
        hosts = [
            host
            for host in self._hosts.values()
            if self._groups.of_host(host.host) == group
        ]
        return await self._asks.ask(place, group, hosts, shared, wait_s)

    def release(self, kept: KeptPlace) -> None:
        """Give a place of another group back."""
        self._asks.release(kept)

    # Reports.

    def announce(self, load: BackendLoad, seen: Sighting | None) -> None:
        """Report a change at a backend server with the next turn of the loop."""
        self._dirty.add(load.entry.id)
        if seen is not None:
            self._sightings.append(seen)
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def announce_versions(self) -> None:
        """Report at once that this host has newer rows."""
        self._send(self._report(complete=False))
        self._report_upstream()

    def _flush(self) -> None:
        self._flush_due = False
        self._send(self._report(complete=False))

    def _send(self, report: HostReport) -> None:
        self._endpoint.send(report, [p.address for p in self._peers.peers.values()])

    def _report(self, *, complete: bool) -> HostReport:
        self._seq += 1
        loads = self._book.loads
        if complete:
            in_flight = {
                id: load.own_in_flight
                for id, load in loads.items()
                if load.own_in_flight
            }
        else:
            in_flight = {
                id: loads[id].own_in_flight for id in self._dirty if id in loads
            }
        sightings = self._sightings
        digests = list(self._digests.values())
        self._dirty = set()
        self._sightings = []
        self._digests = {}
        return HostReport(
            self._facts.name,
            self._incarnation,
            self._facts.data_centre,
            self._seq,
            store_age_s=min(1e6, self._store_age_s()),
            versions=self._versions(),
            leaving=self.leaving,
            complete=complete,
            in_flight=in_flight,
            sightings=sightings,
            digests=digests,
        )

    def _schedule_report(self) -> None:
        count = len(self._peers.peers)
        period_s = min(MAX_REPORT_PERIOD_S, max(REPORT_PERIOD_S, count / REPORTS_PER_S))
        self._subs[:1] = [self._timer.call_later(period_s, self._on_turn)]

    def _on_turn(self) -> None:
        self._schedule_report()
        if self._peers.peers:
            self._send(self._report(complete=True))
        self._report_upstream()
        self._watch_silence()

    def _watch_silence(self) -> None:
        now_s = self._timer.now()
        live = {peer.host for peer in self._peers.live(now_s)}
        for host, peer in self._peers.peers.items():
            if host in live or host in self._silent or not peer.incarnation:
                continue
            self._silent.add(host)
            log_event("neighbour_silent", host=host, silent_s=now_s - peer.heard_s)
            self._book.forget_host(host)
        for host in self._peers.expire(now_s):
            self._silent.discard(host)
            self._hosts.pop(host, None)
            self._regroup()
            log_event("neighbour_forgotten", host=host)
            self._on_forgotten(host)
