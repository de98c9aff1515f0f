"""Exchange of the rate limits and cold times of backend servers between hosts."""

import random
from collections.abc import Callable, Iterable, Sequence

from ..desired import EntryHost
from ..logs import EventSampler, Level
from ..model import Record
from ..neighbours import Message, RateLimitReport
from ..placing import BackendLoad, BackendLoadTable
from ..relay import RateLimitTracker

# For how long the end of a limit is reported again, in case a datagram was lost.
REPORT_END_FOR_S = 10.0
# Pauses between reports of a change to another group until one is confirmed.
REPEAT_PAUSES_S = (0.25, 0.5, 1.0, 2.0, 4.0)
CONFIRM_SLACK_S = 0.001  # by which ages may be rounded
MIN_COLD_NEWS_S = 0.5  # by which a cold time is longer than another group was told


class UnconfirmedChange(Record):
    """A change that another group has not confirmed.

    Attributes:
        load: The server.
        known_s: When this host learned the change.
        next_s: When it is reported again.
        told: Names of the hosts that were told, in order.
        confirmed: Names of the hosts that know it. One is enough for a limit in force,
            which it passes on; the end of a limit is told to each host.
    """

    __slots__ = ("load", "known_s", "next_s", "told", "confirmed", "_reports")

    def __init__(self, load: BackendLoad, now_s: float) -> None:
        self.load = load
        self.known_s = load.rate_limit.known_s
        self.next_s = now_s
        self.told: list[str] = []
        self.confirmed: set[str] = set()
        self._reports = 0

    def choose_recipients(
        self, hosts: Sequence[EntryHost], rng: random.Random, now_s: float
    ) -> list[EntryHost]:
        """Return the hosts to tell now, and plan the next report."""
        pause_s = REPEAT_PAUSES_S[min(self._reports, len(REPEAT_PAUSES_S) - 1)]
        self._reports += 1
        self.next_s = now_s + pause_s
        chosen = [host for host in hosts if host.host not in self.confirmed]
        if self.load.rate_limit and chosen:
            new = [host for host in chosen if host.host not in self.told]
            chosen = [rng.choice(new or chosen)]
        self.told += [host.host for host in chosen]
        return chosen


class RateLimitExchange:
    """Reports the rate limits that this host knows, and applies those of others.

    Within a group a change is reported at once, and all limits in force are reported
    periodically. So a host that starts, wakes or returns from a partition learns them
    with the first report. A limit in force is passed on by every host; its end only by
    a host that saw it, since a host that was suspended might take a late report for a
    new one.

    A change that this host sees at a server of another group is reported to one host
    there after another, until one confirms that it knows it; that host informs its
    group.

    Args:
        host: Name of this host.
        data_centre: Its data centre.
        now: Clock of rate limits, in seconds.
        rng: Chooses the recipient in another group.
        book: Loads of the backend servers.
        tracker: Applies the limits that are reported.
        sampler: Logs reports to other groups.
        send: Sends a message to IP addresses.
        list_hosts: Returns the other hosts of a group, without those that seem to be
            gone, unless all do.
        find_data_centre: Returns the data centre of a host, "" if it is unknown.

    Attributes:
        unconfirmed: Changes that other groups have not confirmed, by server.
    """

    __slots__ = (
        "unconfirmed",
        "_host",
        "_data_centre",
        "_now",
        "_rng",
        "_book",
        "_tracker",
        "_sampler",
        "_send",
        "_list_hosts",
        "_find_data_centre",
        "_cold_told_s",
    )

    def __init__(
        self,
        host: str,
        data_centre: str,
        now: Callable[[], float],
        rng: random.Random,
        book: BackendLoadTable,
        tracker: RateLimitTracker,
        sampler: EventSampler,
        send: Callable[[Message, Iterable[str]], None],
        list_hosts: Callable[[str], Sequence[EntryHost]],
        find_data_centre: Callable[[str], str],
    ) -> None:
        self.unconfirmed: dict[str, UnconfirmedChange] = {}
        self._host = host
        self._data_centre = data_centre
        self._now = now
        self._rng = rng
        self._book = book
        self._tracker = tracker
        self._sampler = sampler
        self._send = send
        self._list_hosts = list_hosts
        self._find_data_centre = find_data_centre
        self._cold_told_s: dict[str, float] = {}
        tracker.on_change = self._report_change

    # Reports.

    def _report_change(self, load: BackendLoad) -> None:
        """Report a change that this host saw to the group that owns the server."""
        if load.group == self._book.groups.own:
            self._report([load], self._group_addresses(load.group))
        else:
            self._add_unconfirmed(load)
            self.repeat_unconfirmed()

    def _add_unconfirmed(self, load: BackendLoad) -> None:
        self.unconfirmed[load.entry.id] = UnconfirmedChange(load, self._now())

    def report_without_permit(self, load: BackendLoad, address: str) -> None:
        """Report a server to a host that offered it without a permit for its limit."""
        if load.rate_limit and load.entry.id not in self.unconfirmed:
            self._add_unconfirmed(load)
        self._log("backend_limit_reported", load, address=address, reason="no permit")
        self._report([load], [address], with_cold=True)

    def report_cold(self, load: BackendLoad, now_s: float) -> None:
        """Report a cold time that this host has just seen at another group's server.

        Args:
            load: The server.
            now_s: Monotonic time.
        """
        id = load.entry.id
        told_s = self._cold_told_s.get(id, now_s)
        if load.group == self._book.groups.own or (
            load.cold_until_s < max(told_s, now_s) + MIN_COLD_NEWS_S
        ):
            return
        hosts = self._list_hosts(load.group)
        if hosts:
            self._cold_told_s = {
                other: until_s
                for other, until_s in self._cold_told_s.items()
                if until_s > now_s
            }
            self._cold_told_s[id] = load.cold_until_s
            self._report([load], [self._rng.choice(hosts).address], with_cold=True)

    def repeat_unconfirmed(self) -> None:
        """Report the changes again that are due."""
        now_s = self._now()
        by_address: dict[str, list[BackendLoad]] = {}
        for id, item in list(self.unconfirmed.items()):
            if not self._is_current(item, now_s):
                del self.unconfirmed[id]
            elif now_s >= item.next_s:
                hosts = self._list_hosts(item.load.group)
                for host in item.choose_recipients(hosts, self._rng, now_s):
                    by_address.setdefault(host.address, []).append(item.load)
                    self._log(
                        "backend_limit_reported",
                        item.load,
                        host=host.host,
                        reports=len(item.told),
                    )
        for address, loads in by_address.items():
            self._report(loads, [address])

    def _is_current(self, item: UnconfirmedChange, now_s: float) -> bool:
        load = item.load
        return (
            self._book.loads.get(load.entry.id) is load
            and load.group != self._book.groups.own  # whose limits report_all covers
            and (bool(load.rate_limit) or now_s - item.known_s < REPORT_END_FOR_S)
        )

    def report_all(self) -> None:
        """Report the limits of the servers of this group to its hosts."""
        own_group = self._book.groups.own
        since_s = self._now() - REPORT_END_FOR_S
        loads = [
            load
            for load in self._book.loads.values()
            if load.group == own_group
            and (
                load.rate_limit
                or (load.rate_limit.is_own and load.rate_limit.known_s > since_s)
            )
        ]
        self._report(loads, self._group_addresses(own_group))

    def _group_addresses(self, group: str) -> list[str]:
        return [host.address for host in self._list_hosts(group)]

    def _report(
        self,
        loads: Iterable[BackendLoad],
        addresses: Sequence[str],
        *,
        with_cold: bool = False,
    ) -> None:
        if not addresses:
            return
        now_s = self._now()
        found = list(loads)
        limits = {
            load.entry.id: (
                load.rate_limit.per_s,
                max(0.0, now_s - load.rate_limit.known_s),
            )
            for load in found
            if load.rate_limit.is_known
        }
        cold_left_s = {
            load.entry.id: left_s
            for load in found
            if with_cold and (left_s := self._book.told_cold_left_s(load)) > 0.0
        }
        if limits or cold_left_s:
            self._send(RateLimitReport(self._host, limits, cold_left_s), addresses)

    # What others report.

    def apply(self, report: RateLimitReport, sender: str) -> None:
        """Apply the limits and cold times that another host reports.

        Args:
            report: The report.
            sender: IP address of the host.
        """
        changed = self._merge(report)
        own_group = self._book.groups.own
        if self._book.groups.of_host(report.host) == own_group:
            return
        by_group: dict[str, list[BackendLoad]] = {}
        for id in sorted({*report.limits, *report.cold_left_s}):
            load = self._book.loads.get(id)
            if load is not None and load.entry.data_centre == self._data_centre:
                by_group.setdefault(load.group, []).append(load)
        for group, loads in by_group.items():
            news = [load for load in loads if load.entry.id in changed]
            addresses = [a for a in self._group_addresses(group) if a != sender]
            self._report(news, addresses, with_cold=True)
        # Only owners answer, so that no answer is answered.
        self._report(by_group.get(own_group, ()), [sender])

    def apply_offer(
        self, host: EntryHost, backend: str, per_s: float, age_s: float
    ) -> None:
        """Apply the limit of a server that a host names in its offer.

        A host with older knowledge is told what this one saw since, such as the end of
        the limit.
        """
        self._merge(RateLimitReport(host.host, {backend: (per_s, age_s)}))
        load = self._book.loads.get(backend)
        if load is None or load.rate_limit.per_s == per_s:
            return
        if load.rate_limit.is_own:
            self._log(
                "backend_limit_reported", load, host=host.host, reason="older offer"
            )
            self._report([load], [host.address])

    def _merge(self, report: RateLimitReport) -> set[str]:
        """Merge what a host knows; return the servers of which that is news."""
        changed = set()
        for id, (per_s, age_s) in report.limits.items():
            load = self._book.loads.get(id)
            if load is None:
                continue
            if self._tracker.merge(load, per_s, age_s, report.host):
                changed.add(id)
            self._confirm(load, per_s, age_s, report.host)
        for id, left_s in report.cold_left_s.items():
            load = self._book.loads.get(id)
            if load is not None and self._book.extend_told_cold(load, left_s):
                changed.add(id)
                self._log("backend_cold_learned", load, left_s=left_s, host=report.host)
        return changed

    def _confirm(
        self, load: BackendLoad, per_s: float, age_s: float, host: str
    ) -> None:
        item = self.unconfirmed.get(load.entry.id)
        if item is None or self._find_data_centre(host) != load.entry.data_centre:
            return
        known_s = self._now() - age_s
        is_newer = known_s >= item.known_s - CONFIRM_SLACK_S
        if is_newer and per_s == load.rate_limit.per_s and host not in item.confirmed:
            item.confirmed.add(host)
            others = [
                other
                for other in self._list_hosts(load.group)
                if other.host not in item.confirmed
            ]
            if load.rate_limit or not others:
                del self.unconfirmed[load.entry.id]
            self._log(
                "backend_limit_confirmed",
                load,
                host=host,
                took_s=self._now() - item.known_s,
                reports=len(item.told),
            )

    def _log(self, name: str, load: BackendLoad, **fields: object) -> None:
        self._tracker.events[name] += 1
        self._sampler.log(
            name,
            Level.INFO,
            backend=load.entry.id,
            service=load.entry.service,
            limit_per_s=load.rate_limit.per_s,
            **fields,
        )
