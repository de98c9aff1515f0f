"""Makes snapshots of this host and reports over all hosts."""

from collections.abc import Awaitable, Callable

from ..metrics import BlockRing, merge_steps, run_steps_apart
from ..model import FleetConfig
from ._report import BurnReport, report_steps
from ._residency import is_visible
from ._snapshot import WINDOWS_S, HostSnapshot, PeerSnapshot, WindowCounts

FetchSnapshots = Callable[[str], Awaitable[list[PeerSnapshot]]]


class BurnService:
    """Answers the administration API about burn.

    Args:
        host: Name of this host.
        region: Region of this host.
        ring: Past minutes of this host.
        current: Returns the configuration in force.
        fetch: Asks every other listed entry host for its snapshot, as far as the
            named region may see it. It returns one entry for each host, also for
            those that did not answer.
    """

    __slots__ = ("host", "region", "_ring", "_current", "_fetch")

    def __init__(
        self,
        host: str,
        region: str,
        ring: BlockRing,
        current: Callable[[], FleetConfig],
        fetch: FetchSnapshots,
    ) -> None:
        self.host = host
        self.region = region
        self._ring = ring
        self._current = current
        self._fetch = fetch

    async def snapshot(self, region: str) -> HostSnapshot:
        """Return the counts of this host that ``region`` may see."""
        cfg = self._current()
        windows = []
        for window_s in WINDOWS_S:
            merged = await run_steps_apart(merge_steps(self._ring.last(window_s)))
            series = (item for item in merged if is_visible(item.key, region, cfg))
            windows.append(WindowCounts(window_s, tuple(series)))
        return HostSnapshot(self.host, self.region, tuple(windows))

    async def report(self) -> BurnReport:
        """Return the merged report for the region of this host."""
        own = PeerSnapshot(self.host, await self.snapshot(self.region))
        peers = await self._fetch(self.region)
        return await run_steps_apart(
            report_steps(self.region, WINDOWS_S, [own, *peers], self._current())
        )
