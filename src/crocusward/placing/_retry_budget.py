"""Retry budget of the fleet, divided among its hosts."""

from collections import deque

USABLE_SHARE = 0.85  # of the fleet's bounds; the windows of hosts aren't aligned


class _Window:
    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()


class FleetRetryBudget:
    """Bounds retries by service over a sliding window.

    Each host may spend its share of the reserve and a ratio of its own requests in the
    window, so that the sum over all hosts stays within the fleet's bound without
    messages between them.

    Args:
        ratio: Retries per request, fleet-wide.
        reserve: Further retries in each window, fleet-wide.
        window_s: Length of the window.

    Attributes:
        host_count: Number of hosts that share the reserve.
    """

    __slots__ = ("host_count", "_ratio", "_reserve", "_window_s", "_windows")

    def __init__(self, ratio: float, reserve: float, window_s: float) -> None:
        self.host_count = 1
        self.set_bounds(ratio, reserve, window_s)
        self._windows: dict[str, _Window] = {}

    def set_bounds(self, ratio: float, reserve: float, window_s: float) -> None:
        """Replace the fleet's bounds."""
        self._ratio = ratio * USABLE_SHARE
        self._reserve = reserve * USABLE_SHARE
        self._window_s = window_s

    def _window(self, service: str, now_s: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and now_s - times[0] > self._window_s:
                times.popleft()
        return window

    def count_request(self, service: str, now_s: float) -> None:
        """Count a request of a caller."""
        self._window(service, now_s).requests.append(now_s)

    def remaining(self, service: str, now_s: float) -> float:
        """Return the retries that this host may still spend."""
        window = self._window(service, now_s)
        allowed = self._ratio * len(window.requests) + self._reserve / self.host_count
        return allowed - len(window.retries)

    def try_spend(self, service: str, now_s: float, min_left: float = 0.0) -> bool:
        """Spend one retry if at least ``min_left`` remain after it."""
        if self.remaining(service, now_s) < 1.0 + min_left:
            return False
        self._window(service, now_s).retries.append(now_s)
        return True
