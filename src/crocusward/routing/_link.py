"""The byte budget of a host for the link between regions."""

from ..limits import HostCounter
from ..timing import TimerService

# Half of a link of 30 Mbit/s; the rest is for forwarding, configuration and others.
LINK_BITS_PER_S = 15e6
LINK_BURST_S = 1.0
BITS_PER_BYTE = 8


class LinkBudget:
    """A token bucket of bytes, divided by the number of entry hosts.

    Args:
        timer: Source of time.
        share: Number of entry hosts.
        bits_per_s: What the fleet may use of the link, in bits per second.
    """

    __slots__ = ("_timer", "_share", "_bytes_per_s", "_level", "_filled_s")

    def __init__(
        self,
        timer: TimerService,
        share: HostCounter,
        bits_per_s: float = LINK_BITS_PER_S,
    ) -> None:
        self._timer = timer
        self._share = share
        self._bytes_per_s = bits_per_s / BITS_PER_BYTE
        self._level = 0.0
        self._filled_s = timer.now()

    def has(self, count: int) -> bool:
        """Return whether ``count`` bytes may cross now.

        A request larger than the whole bucket may cross when the bucket is full.
        """
        return self._fill() >= min(count, self._size())

    def take(self, count: int) -> None:
        """Spend ``count`` bytes; the level may become negative."""
        self._fill()
        self._level -= count

    def _size(self) -> float:
        divisor = self._share.divisor(self._filled_s)
        return self._bytes_per_s * LINK_BURST_S / divisor

    def _fill(self) -> float:
        now_s = self._timer.now()
        divisor = self._share.divisor(now_s)
        accrued = (now_s - self._filled_s) * self._bytes_per_s / divisor
        self._level = min(
            self._level + accrued, self._bytes_per_s * LINK_BURST_S / divisor
        )
        self._filled_s = now_s
        return self._level
