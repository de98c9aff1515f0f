"""Minutes and five-minute blocks kept for the report on burn."""

from collections import Counter, deque
from collections.abc import Iterable

from ..model import Record
from ._latency import LatencyCells
from ._series import SeriesKey
from ._steps import Steps, run_steps

MINUTE_S = 60
MINUTES_KEPT = 60
MINUTES_PER_BLOCK = 5
BLOCKS_KEPT = 72  # 6 h
MAX_BACKENDS_KEPT = 8  # worst backend servers per series and block


class SeriesCounts(Record):
    """What one series did in one block of time.

    Attributes:
        key: Labels.
        good: Requests answered as the contract promises.
        codes: Number of other outcomes by code that count against the service.
        backends: Number of those by backend id, the worst few.
        latency: Counts of total latency.
    """

    __slots__ = ("key", "good", "codes", "backends", "latency")

    def __init__(
        self,
        key: SeriesKey,
        good: int,
        codes: Counter[str],
        backends: Counter[str],
        latency: LatencyCells,
    ) -> None:
        self.key = key
        self.good = good
        self.codes = codes
        self.backends = backends
        self.latency = latency

    @property
    def bad(self) -> int:
        """Requests that count against the service."""
        return self.codes.total()


class Block(Record):
    """All series of one span of time.

    Attributes:
        start_s: Start by the host's own clock, in seconds.
        span_s: Length, in seconds.
        series: One entry for each series that was active.
    """

    __slots__ = ("start_s", "span_s", "series")

    def __init__(
        self, start_s: float, span_s: float, series: tuple[SeriesCounts, ...]
    ) -> None:
        self.start_s = start_s
        self.span_s = span_s
        self.series = series


class SeriesMerger:
    """Adds counts by label set; latencies are added cell by cell.

    Args:
        max_backends: Worst backend servers that the result keeps for each series.
    """

    __slots__ = ("_parts", "_max_backends")

    def __init__(self, max_backends: int = MAX_BACKENDS_KEPT) -> None:
        self._parts: dict[SeriesKey, _Sum] = {}
        self._max_backends = max_backends

    def add(self, item: SeriesCounts) -> None:
        """Add the counts of one series."""
        total = self._parts.setdefault(item.key, _Sum())
        total.good += item.good
        total.codes.update(item.codes)
        total.backends.update(item.backends)
        item.latency.add_to(total.cells)

    def result(self) -> tuple[SeriesCounts, ...]:
        """Return the sums."""
        return tuple(self._close(key, total) for key, total in self._parts.items())

    def _close(self, key: SeriesKey, total: "_Sum") -> SeriesCounts:
        worst = Counter(dict(total.backends.most_common(self._max_backends)))
        latency = LatencyCells(total.cells)
        return SeriesCounts(key, total.good, total.codes, worst, latency)


class _Sum:
    __slots__ = ("good", "codes", "backends", "cells")

    def __init__(self) -> None:
        self.good = 0
        self.codes: Counter[str] = Counter()
        self.backends: Counter[str] = Counter()
        self.cells: dict[int, int] = {}


def merge_steps(blocks: Iterable[Block]) -> Steps[tuple[SeriesCounts, ...]]:
    """Compute the sum of blocks by series, in steps."""
    merger = SeriesMerger()
    for block in blocks:
        for item in block.series:
            merger.add(item)
            yield
    return merger.result()


def merge_blocks(blocks: Iterable[Block]) -> tuple[SeriesCounts, ...]:
    """Return the sum of blocks by series."""
    return run_steps(merge_steps(blocks))


class BlockRing:
    """Keeps the last hour by minutes and the last six hours by five minutes."""

    __slots__ = ("minutes", "blocks", "_pending")

    def __init__(self) -> None:
        self.minutes: deque[Block] = deque(maxlen=MINUTES_KEPT)
        self.blocks: deque[Block] = deque(maxlen=BLOCKS_KEPT)
        self._pending: list[Block] = []

    def add_steps(self, minute: Block) -> Steps[None]:
        """Add a closed minute, in steps; the counts are complete at each step."""
        self.minutes.append(minute)
        self._pending.append(minute)
        if len(self._pending) < MINUTES_PER_BLOCK:
            return
        parts = self._pending
        merged = yield from merge_steps(parts)
        span_s = sum(item.span_s for item in parts)
        self.blocks.append(Block(parts[0].start_s, span_s, merged))
        self._pending = []

    def last(self, window_s: float) -> list[Block]:
        """Return the blocks that cover the last ``window_s`` seconds."""
        count = round(window_s / MINUTE_S)
        if count <= MINUTES_KEPT:
            return list(self.minutes)[-count:]
        whole = (count - len(self._pending)) // MINUTES_PER_BLOCK
        return list(self.blocks)[-whole:] + self._pending
