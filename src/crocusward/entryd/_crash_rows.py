"""Blocked requests kept in the store, for the case that all hosts start at once."""

import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from ..crashes import CrashRegistry
from ..desired import RowChange
from ..errors import CrocusError
from ..logs import EventSampler, Level, log_event
from ..platform import (
    TABLE_HOSTS,
    RowClient,
    crash_row_key,
    decode_crash_row,
    encode_crash_row,
)
from ..relay import CrashWatch, show_digest
from ..timing import TimerService
from ._reader import READ_TIMEOUT_S

MAX_ATTEMPTS = 6  # of one write, over about 20 s
RETRY_PAUSE_S = 3.0
MS_PER_S = 1000.0


class CrashRowKeeper:
    """Writes requests to the store when they are blocked, and reads them at the start.

    Only the host that counts the crash that blocks a request writes it. Suspects with
    fewer crashes are known to the running hosts alone.

    Args:
        store: The store.
        watch: Counts the crashes that this host sees.
        timer: Source of time.
        rng: Source of jitter.
        sampler: Logs failed writes.
        unix_ms: Wall clock, in milliseconds since the epoch.
        start_task: Runs a coroutine until the daemon stops.
    """

    __slots__ = (
        "_store",
        "_registry",
        "_timer",
        "_rng",
        "_sampler",
        "_unix_ms",
        "_start_task",
    )

    def __init__(
        self,
        store: RowClient,
        watch: CrashWatch,
        timer: TimerService,
        rng: random.Random,
        sampler: EventSampler,
        unix_ms: Callable[[], float],
        start_task: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._store = store
        self._registry: CrashRegistry = watch.registry
        self._timer = timer
        self._rng = rng
        self._sampler = sampler
        self._unix_ms = unix_ms
        self._start_task = start_task
        watch.observers.append(self._on_change)

    def _on_change(self, digest: bytes, was_blocked: bool) -> None:
        if self._registry.is_blocked(digest) != was_blocked:
            self._start_task(self._write(digest))

    async def _write(self, digest: bytes) -> None:
        """Write or delete the row of a request."""
        for _ in range(MAX_ATTEMPTS):
            summary = self._registry.summarise(digest)
            try:
                if summary is not None and self._registry.is_blocked(digest):
                    value = encode_crash_row(summary, self._unix_ms())
                    await self._store.write_row(
                        TABLE_HOSTS, crash_row_key(digest), value, READ_TIMEOUT_S
                    )
                else:
                    await self._store.delete_row(
                        TABLE_HOSTS, crash_row_key(digest), READ_TIMEOUT_S
                    )
                return
            except CrocusError as exc:
                self._sampler.log(
                    "crash_row_failed",
                    Level.WARNING,
                    digest=show_digest(digest),
                    reason=str(exc),
                )
            await self._timer.sleep(RETRY_PAUSE_S * (0.5 + self._rng.random()))

    def load(self, rows: Iterable[RowChange]) -> None:
        """Merge the rows of the table of hosts that are about blocked requests."""
        summaries = [decode_crash_row(row, self._unix_ms()) for row in rows]
        for summary in summaries:
            if summary is None:
                continue
            self._registry.merge(summary)
            if not self._registry.count(summary.digest):  # its time is over
                self._start_task(self._write(summary.digest))
                continue
            log_event(
                "crash_loaded",
                digest=show_digest(summary.digest),
                crashes=self._registry.count(summary.digest),
            )
