"""Follows the platform's host list and tells the parts who is there."""

import asyncio
from collections import defaultdict

from ..config import ConfigManager
from ..errors import CrocusError
from ..limits import HostCounter
from ..logs import Level, log_event
from ..model import Backend, ListedHost
from ..peer import PeerIdentity
from ..routing import Router
from ..timing import Subscription, TimerService
from ._ports import PeerPort, Platform

# Longer than a period and a call that runs into its time limit. A host that has not
# even tried for so long was paused, and does not know which servers left meanwhile.
STALE_AFTER_PERIODS = 3.0


class Membership:
    """Knows the listed hosts and the linked peers.

    Args:
        timer: Source of time.
        identity: This daemon.
        platform: Gives the host list.
        router: Told of backend servers and of entry hosts by region.
        config: Told of the listed hosts.
        share: Number of entry hosts of the fleet.
        region_share: Number of entry hosts of this region.
        poll_s: Period of reading the list, in seconds.

    Attributes:
        entries: Listed entry hosts, this one included.
    """

    __slots__ = (
        "entries",
        "_timer",
        "_identity",
        "_platform",
        "_router",
        "_config",
        "_share",
        "_region_share",
        "_poll_s",
        "_peers",
        "_linked",
        "_sub",
        "_poll",
        "_failing",
        "_tried_s",
        "_last",
    )

    def __init__(
        self,
        timer: TimerService,
        identity: PeerIdentity,
        platform: Platform,
        router: Router,
        config: ConfigManager,
        share: HostCounter,
        region_share: HostCounter,
        poll_s: float,
    ) -> None:
        self.entries: tuple[ListedHost, ...] = ()
        self._timer = timer
        self._identity = identity
        self._platform = platform
        self._router = router
        self._config = config
        self._share = share
        self._region_share = region_share
        self._poll_s = poll_s
        self._peers: PeerPort | None = None
        self._linked: dict[str, PeerIdentity] = {}
        self._sub: Subscription | None = None
        self._poll: asyncio.Task[None] | None = None
        self._failing = False
        self._last: list[ListedHost] = []
        self._tried_s = timer.now()

    async def start(self, peers: PeerPort) -> None:
        """Read the list once, then again in periods."""
        self._peers = peers
        self._tell_region_hosts()
        await self.refresh()
        self._sub = self._timer.every(self._poll_s, self._poll_due)

    def stop(self) -> None:
        """End reading the list."""
        if self._sub is not None:
            self._sub.cancel()
        if self._poll is not None:
            self._poll.cancel()

    async def refresh(self) -> None:
        """Read the list; the last one stays in use while it cannot be read."""
        started_s = self._timer.now()
        try:
            hosts = await self._platform.hosts.fetch()
        except CrocusError as exc:
            self._tried_s = started_s
            if not self._failing:
                log_event("host_list_failed", Level.WARNING, code=exc.code)
            self._failing = True
            return
        self._failing = False
        self._tried_s = started_s
        self._take(hosts)

    def is_recent(self) -> bool:
        """Return False if this host was paused and has not read the list since."""
        age_s = self._timer.now() - self._tried_s
        return age_s < STALE_AFTER_PERIODS * self._poll_s

    def linked(self, peer: PeerIdentity) -> None:
        """Note a usable link to a peer."""
        self._linked[peer.host] = peer
        self.record_contact(peer)
        self._tell_region_hosts()

    def unlinked(self, peer: PeerIdentity) -> None:
        """Note that no link to a peer is left."""
        known = self._linked.get(peer.host)
        if known is not None and known.incarnation == peer.incarnation:
            del self._linked[peer.host]
        self._tell_region_hosts()

    def record_contact(self, peer: PeerIdentity) -> None:
        """Note a heartbeat of a peer."""
        now_s = self._timer.now()
        self._share.record_contact(peer.host, now_s)
        if peer.region == self._identity.region:
            self._region_share.record_contact(peer.host, now_s)

    def record_departure(self, peer: PeerIdentity) -> None:
        """Note that a peer says it is stopping."""
        self._share.record_departure(peer.host)
        if peer.region == self._identity.region:
            self._region_share.record_departure(peer.host)

    def region_of(self, incarnation: int) -> str:
        """Return the region of a linked incarnation, or ""."""
        for peer in self._linked.values():
            if peer.incarnation == incarnation:
                return peer.region
        return ""

    def _poll_due(self) -> None:
        if self._poll is None or self._poll.done():
            self._poll = asyncio.get_running_loop().create_task(self.refresh())

    def _take(self, hosts: list[ListedHost]) -> None:
        if hosts is self._last:
            return
        self._last = hosts
        entries = [host for host in hosts if host.role == "entry"]
        self.entries = tuple(entries)
        own = [host for host in entries if host.region == self._identity.region]
        self._share.update_listed(*_names(entries))
        self._region_share.update_listed(*_names(own))
        self._config.set_listed(hosts)
        backends = [host for host in hosts if host.role == "backend"]
        leaving = {host.name for host in backends if host.leaving}
        self._router.set_backends([_backend(host) for host in backends], leaving)
        if self._peers is not None:
            self._peers.update_listed(hosts)

    def _tell_region_hosts(self) -> None:
        """Tell the router which entry hosts can warm a backend server up.

        Linked peers are used rather than the list, so that a dead host does not
        stay the warming host until the list drops it.
        """
        by_region: dict[str, list[str]] = defaultdict(list)
        by_region[self._identity.region].append(self._identity.host)
        for peer in self._linked.values():
            by_region[peer.region].append(peer.host)
        self._router.set_region_hosts(by_region)


def _names(hosts: list[ListedHost]) -> tuple[list[str], list[str]]:
    return [host.name for host in hosts], [h.name for h in hosts if h.leaving]


def _backend(host: ListedHost) -> Backend:
    return Backend(
        host.name,
        host.service,
        host.region,
        host.data_centre,
        host.address,
        host.port,
    )
