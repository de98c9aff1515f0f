"""Timer service interface and its asyncio implementation."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol

PERIOD_JITTER_SHARE = 0.1  # keeps hosts from acting in lockstep


def boot_time_s() -> float:
    """Return a monotonic time in seconds that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Subscription:
    """Handle of a delayed or periodic call."""

    __slots__ = ("_handle", "cancelled")

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the call; further calls have no effect."""
        self.cancelled = True
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


class TimerService(Protocol):
    """Monotonic clock and scheduler of delayed and periodic calls."""

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def call_later(
        self, delay_s: float, callback: Callable[[], object]
    ) -> Subscription:
        """Call ``callback`` once after ``delay_s`` seconds."""

    def every(self, period_s: float, callback: Callable[[], object]) -> Subscription:
        """Call ``callback`` about every ``period_s`` seconds."""

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""


class LoopTimer:
    """Timer service on an asyncio event loop.

    Args:
        loop: Event loop that provides the clock and the timers.
        rng: Random generator for the jitter of periodic calls.
    """

    __slots__ = ("_loop", "_rng", "now")

    def __init__(self, loop: asyncio.AbstractEventLoop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self.now = loop.time

    def call_later(
        self, delay_s: float, callback: Callable[[], object]
    ) -> Subscription:
        """Call ``callback`` once after ``delay_s`` seconds."""
        subscription = Subscription()
        subscription._handle = self._loop.call_later(delay_s, callback)
        return subscription

    def every(self, period_s: float, callback: Callable[[], object]) -> Subscription:
        """Call ``callback`` every ``period_s`` seconds, with jitter."""
        subscription = Subscription()

        def fire() -> None:
            if subscription.cancelled:
                return
            schedule()
            callback()

        def schedule() -> None:
            jitter_factor = 1.0 + PERIOD_JITTER_SHARE * (2.0 * self._rng.random() - 1.0)
            subscription._handle = self._loop.call_later(period_s * jitter_factor, fire)

        schedule()
        return subscription

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)
