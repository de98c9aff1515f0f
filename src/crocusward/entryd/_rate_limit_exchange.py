"""Exchange of the rate limits of backend servers between hosts."""

import random
from collections.abc import Callable, Iterable

from ..neighbours import Message, RateLimitReport
from ..placing import BackendLoad, BackendLoadTable
from ..relay import RateLimitTracker

# For how long the end of a limit is reported again, in case a datagram was lost.
REPORT_END_FOR_S = 10.0


class RateLimitExchange:
    """Reports the rate limits that this host knows, and applies those of others.

    A change is reported at once, all limits in force are reported periodically. So a
    host that starts, wakes or returns from a partition learns them with the first
    report. A limit in force is passed on by every host; its end only by a host that
    saw it, since a host that was suspended might take a late report for a new one.

    Args:
        host: Name of this host.
        now: Clock of rate limits, in seconds.
        rng: Chooses the recipient in another group.
        book: Loads of the backend servers.
        tracker: Applies the limits that are reported.
        send: Sends a message to IP addresses.
        group_addresses: Returns the addresses of the hosts of a group, without this
            host.
    """

    __slots__ = (
        "_host",
        "_now",
        "_rng",
        "_book",
        "_tracker",
        "_send",
        "_group_addresses",
    )

    def __init__(
        self,
        host: str,
        now: Callable[[], float],
        rng: random.Random,
        book: BackendLoadTable,
        tracker: RateLimitTracker,
        send: Callable[[Message, Iterable[str]], None],
        group_addresses: Callable[[str], list[str]],
    ) -> None:
        self._host = host
        self._now = now
        self._rng = rng
        self._book = book
        self._tracker = tracker
        self._send = send
        self._group_addresses = group_addresses
        tracker.on_change = self._report_change

    def _report_change(self, load: BackendLoad) -> None:
        """Report a change that this host saw to the group that owns the server."""
        addresses = self._group_addresses(load.group)
        if load.group != self._book.groups.own and addresses:
            addresses = [self._rng.choice(addresses)]  # it informs its group
        self._report([load], addresses)

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

    def _report(self, loads: Iterable[BackendLoad], addresses: list[str]) -> None:
        now_s = self._now()
        limits = {
            load.entry.id: (
                load.rate_limit.per_s,
                max(0.0, now_s - load.rate_limit.known_s),
            )
            for load in loads
        }
        if limits and addresses:
            self._send(RateLimitReport(self._host, limits), addresses)

    def apply(self, report: RateLimitReport) -> None:
        """Apply the limits that another host reports."""
        for id, (per_s, age_s) in report.limits.items():
            load = self._book.loads.get(id)
            if load is not None:
                self._tracker.merge(load, per_s, age_s, report.host)
