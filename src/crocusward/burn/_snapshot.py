"""What one host contributes to a report."""

from ..metrics import SeriesCounts
from ..model import Record

# A short window shows a fault that burns fast, the long ones a slow leak.
WINDOWS_S = (300, 3600, 21600)


class WindowCounts(Record):
    """Counts of one window.

    Attributes:
        window_s: Length of the window, in seconds.
        series: One entry for each active series.
    """

    __slots__ = ("window_s", "series")

    def __init__(self, window_s: int, series: tuple[SeriesCounts, ...]) -> None:
        self.window_s = window_s
        self.series = series


class HostSnapshot(Record):
    """Counts of one host, as far as a region may see them.

    Attributes:
        host: Name of the host.
        region: Region of the host.
        windows: One entry for each window.
    """

    __slots__ = ("host", "region", "windows")

    def __init__(
        self, host: str, region: str, windows: tuple[WindowCounts, ...]
    ) -> None:
        self.host = host
        self.region = region
        self.windows = windows


class PeerSnapshot(Record):
    """Result of asking one peer.

    Attributes:
        host: Name of the peer.
        snapshot: Its snapshot, or None if it could not be reached.
        reason: Why it could not be reached, or "".
    """

    __slots__ = ("host", "snapshot", "reason")

    def __init__(
        self, host: str, snapshot: HostSnapshot | None, reason: str = ""
    ) -> None:
        self.host = host
        self.snapshot = snapshot
        self.reason = reason
