"""Pauses and kills one host inside a run in virtual time."""

import asyncio
import contextvars
import random
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

from ...timing import LoopTimer, Subscription

_current_owner: contextvars.ContextVar[int] = contextvars.ContextVar("owner", default=0)


class TaskOwners:
    """Remembers which incarnation started which task.

    Args:
        loop: The loop whose tasks are followed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: dict[int, set[asyncio.Task[Any]]] = defaultdict(set)
        loop.set_task_factory(self._make_task)

    def spawn(self, owner: int, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine; the tasks that it starts belong to ``owner`` too."""
        context = contextvars.copy_context()
        context.run(_current_owner.set, owner)
        return context.run(self._loop.create_task, work)

    def run_as(self, owner: int, callback: Callable[[], object]) -> None:
        """Call a function; the tasks that it starts belong to ``owner``."""
        context = contextvars.copy_context()
        context.run(_current_owner.set, owner)
        context.run(callback)

    def cancel(self, owner: int) -> None:
        """Cancel every task of an incarnation."""
        for task in list(self._tasks.pop(owner, ())):
            task.cancel()

    def _make_task(
        self, loop: asyncio.AbstractEventLoop, work: Any, **kwargs: Any
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(work, loop=loop, **kwargs)
        owner = _current_owner.get()
        if owner:
            self._tasks[owner].add(task)
            task.add_done_callback(self._tasks[owner].discard)
        return task


class HostGate:
    """Holds back everything that reaches a paused host.

    Attributes:
        paused: True while the process is stopped by the operating system.
        dead: True once it was killed.
    """

    def __init__(self) -> None:
        self.paused = False
        self.dead = False
        self._deferred: list[Callable[[], object]] = []
        self._open = asyncio.Event()
        self._open.set()

    def pause(self) -> None:
        """Stop the process."""
        self.paused = True
        self._open.clear()

    def resume(self) -> None:
        """Let the process go on."""
        self.paused = False
        self._open.set()
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            self.deliver(callback)

    def kill(self) -> None:
        """End the process."""
        self.dead = True
        self._deferred.clear()

    def deliver(self, callback: Callable[[], object]) -> None:
        """Call a function as soon as the process runs, or never if it is dead."""
        if self.dead:
            return
        if self.paused:
            self._deferred.append(callback)
        else:
            callback()

    async def wait_open(self) -> None:
        """Wait until the process runs."""
        while self.paused:
            await self._open.wait()


class GatedTimer:
    """Timer service of one host; a paused host's timers fire when it resumes.

    Args:
        loop: The virtual loop.
        rng: Source of jitter.
        gate: Gate of the host.
        owners: Assigns tasks started by callbacks to the host.
        owner: Incarnation of the host.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        gate: HostGate,
        owners: TaskOwners,
        owner: int,
    ) -> None:
        self._inner = LoopTimer(loop, rng)
        self._gate = gate
        self._owners = owners
        self._owner = owner
        self.now = loop.time

    def call_later(
        self, delay_s: float, callback: Callable[[], object]
    ) -> Subscription:
        """Call ``callback`` once after ``delay_s`` seconds."""
        sub: Subscription

        def fire() -> None:
            if not sub.cancelled:
                self._run(callback)

        sub = self._inner.call_later(delay_s, lambda: self._gate.deliver(fire))
        return sub

    def every(self, period_s: float, callback: Callable[[], object]) -> Subscription:
        """Call ``callback`` about every ``period_s`` seconds."""
        sub: Subscription

        def fire() -> None:
            if not sub.cancelled and not self._gate.dead and not self._gate.paused:
                self._run(callback)

        sub = self._inner.every(period_s, fire)
        return sub

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)
        await self._gate.wait_open()

    def _run(self, callback: Callable[[], object]) -> None:
        self._owners.run_as(self._owner, callback)
