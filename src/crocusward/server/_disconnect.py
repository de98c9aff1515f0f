"""Cancellation of requests whose callers go away."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from ..timing import TimerService

WATCH_DELAY_S = 0.05  # most requests are answered before a watch would pay off
CHECK_PERIOD_S = 0.02

Receive = Callable[[], Awaitable[dict[str, Any]]]


class DisconnectWatch:
    """Cancels one task when its caller goes away.

    Attributes:
        task: The task that carries out the request.
        since_s: Monotonic time of the start of the request, in seconds.
        caller_gone: True once the caller has closed the connection.
        done: True once the request needs no watch any more.
    """

    __slots__ = ("task", "since_s", "caller_gone", "done", "_receive", "_watcher")

    def __init__(self, since_s: float, receive: Receive) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.task = task
        self.since_s = since_s
        self.caller_gone = False
        self.done = False
        self._receive: Receive | None = receive
        self._watcher: asyncio.Task[None] | None = None

    def stop(self) -> None:
        """End the watch."""
        self.done = True
        self._receive = None
        if self._watcher is not None:
            self._watcher.cancel()

    def begin(self) -> None:
        """Start to watch the connection."""
        if self._receive is not None:
            loop = asyncio.get_running_loop()
            self._watcher = loop.create_task(self._watch(self._receive))

    async def _watch(self, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        if not self.done:
            self.caller_gone = True
            self.task.cancel()


class DisconnectWatches:
    """Starts to watch requests that take long.

    Short requests pay neither for a second task nor for a timer of their own.

    Args:
        timer: Source of time.
    """

    __slots__ = ("_timer", "_young", "_is_checking")

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._young: deque[DisconnectWatch] = deque()
        self._is_checking = False

    def add(self, since_s: float, receive: Receive) -> DisconnectWatch:
        """Return a watch of the current task that begins after a delay."""
        watch = DisconnectWatch(since_s, receive)
        self._young.append(watch)
        if not self._is_checking:
            self._is_checking = True
            self._timer.call_later(WATCH_DELAY_S, self._check)
        return watch

    def _check(self) -> None:
        young = self._young
        oldest_s = self._timer.now() - WATCH_DELAY_S
        while young and (young[0].done or young[0].since_s <= oldest_s):
            watch = young.popleft()
            if not watch.done:
                watch.begin()
        self._is_checking = bool(young)
        if young:
            self._timer.call_later(CHECK_PERIOD_S, self._check)
