"""Token bucket of a host for bytes on the link between regions."""

from ..limits import HostCounter
from ..timing import TimerService

# Half of a 30 Mbit/s link; the rest is for forwarding, configuration and other users.
LINK_BITS_PER_S = 15e6
LINK_BURST_S = 1.0
BITS_PER_BYTE = 8


class LinkBudget:
    """Token bucket of bytes; the fleet's rate is divided by the number of entry hosts.

    Args:
        timer: Source of time.
        share: Number of entry hosts.
        bits_per_s: Rate of the whole fleet on the link, in bits per second.
    """

    __slots__ = ("_timer", "_share", "_bytes_per_s", "_level_bytes", "_refilled_s")

    def __init__(
        self,
        timer: TimerService,
        share: HostCounter,
        bits_per_s: float = LINK_BITS_PER_S,
    ) -> None:
        self._timer = timer
        self._share = share
        self._bytes_per_s = bits_per_s / BITS_PER_BYTE
        self._level_bytes = 0.0
        self._refilled_s = timer.now()

    def has_room(self, byte_count: int) -> bool:
        """Return whether ``byte_count`` bytes may be sent now.

        A request larger than the whole bucket is sent when the bucket is full.
        """
        return self._refill() >= min(byte_count, self._get_capacity_bytes())

    def take(self, byte_count: int) -> None:
        """Remove ``byte_count`` bytes; the level may become negative."""
        self._refill()
        self._level_bytes -= byte_count

    def _get_capacity_bytes(self) -> float:
        divisor = self._share.divisor(self._refilled_s)
        return self._bytes_per_s * LINK_BURST_S / divisor

    def _refill(self) -> float:
        now_s = self._timer.now()
        divisor = self._share.divisor(now_s)
        accrued = (now_s - self._refilled_s) * self._bytes_per_s / divisor
        self._level_bytes = min(
            self._level_bytes + accrued, self._bytes_per_s * LINK_BURST_S / divisor
        )
        self._refilled_s = now_s
        return self._level_bytes
