"""Latency recorders that end in hdrhistogram histograms."""

import math
from array import array
from bisect import bisect_left
from collections.abc import Mapping, Sequence
from itertools import accumulate

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000  # longest deadline that a contract can have
SIGNIFICANT_DIGITS = 2  # percentiles within 1%
US_PER_S = 1_000_000
# Layout of a histogram of two significant digits: 2**8 sub-buckets in the first
# bucket and 2**7 in each further one.
SUB_BUCKET_BITS = 8
HALF_BITS = SUB_BUCKET_BITS - 1


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def encode_histogram(histogram: HdrHistogram) -> bytes:
    """Return the compressed form."""
    return bytes(histogram.encode())


def decode_histogram(data: bytes) -> HdrHistogram:
    """Return the histogram of a compressed form."""
    return HdrHistogram.decode(data)


_TEMPLATE = new_histogram()
_VALUES = [_TEMPLATE.get_value_from_index(i) for i in range(_TEMPLATE.counts_len)]


def count_at_or_below(histogram: HdrHistogram, duration_s: float) -> int:
    """Return how many values are at most ``duration_s`` seconds, within 1%."""
    value = min(max(int(duration_s * US_PER_S), LOWEST_US), HIGHEST_US)
    return sum(histogram.counts[: _cell_of(value) + 1])


def _cell_of(value: int) -> int:
    shift = max(0, value.bit_length() - SUB_BUCKET_BITS)
    return (shift << HALF_BITS) + (value >> shift)


class LatencyCells:
    """Counts by cell of a histogram, in a compact form.

    A minute touches some tens of cells out of 2,560. In this form closing a minute
    costs some microseconds for each series; an encoded histogram costs half a
    millisecond.

    Args:
        counts: Count by cell; only cells in use.
    """

    __slots__ = ("_pairs",)

    def __init__(self, counts: Mapping[int, int] | None = None) -> None:
        self._pairs = array("Q")
        for index, count in sorted((counts or {}).items()):
            self._pairs.append(index)
            self._pairs.append(count)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, LatencyCells):
            return NotImplemented
        return self._pairs == other._pairs

    @classmethod
    def decode(cls, data: bytes) -> "LatencyCells":
        """Return the cells of a compressed histogram.

        Raises:
            ValueError: The data is malformed or has another layout.
        """
        try:
            hist = decode_histogram(data)
        except Exception as exc:  # the library raises unrelated types
            raise ValueError(f"malformed histogram: {type(exc).__name__}") from None
        if len(hist.counts) != len(_VALUES):
            raise ValueError("the histogram has another layout")
        return cls({i: count for i, count in enumerate(hist.counts) if count})

    def encode(self) -> bytes:
        """Return the compressed histogram."""
        return encode_histogram(self.histogram())

    def add_to(self, counts: dict[int, int]) -> None:
        """Add these counts to ``counts``."""
        pairs = iter(self._pairs)
        for index, count in zip(pairs, pairs, strict=True):
            counts[index] = counts.get(index, 0) + count

    def histogram(self) -> HdrHistogram:
        """Return the counts as a histogram."""
        hist = new_histogram()
        pairs = iter(self._pairs)
        for index, count in zip(pairs, pairs, strict=True):
            hist.counts[index] = count
            hist.total_count += count
        if self._pairs:
            hist.min_value = _VALUES[self._pairs[0]]
            top = _VALUES[self._pairs[-2]]
            hist.max_value = hist.get_highest_equivalent_value(top)
        return hist


class LatencyRecorder:
    """Counts durations in the cells of a histogram.

    The library's ``record_value`` costs about 2.3 us in CPython, and a request has
    four records.
    """

    __slots__ = ("total", "sum_us", "_cells")

    def __init__(self) -> None:
        self.total = 0
        self.sum_us = 0
        self._cells: dict[int, int] = {}

    def record(self, duration_s: float) -> None:
        """Count one duration, in seconds."""
        value = int(duration_s * US_PER_S)
        if value < LOWEST_US:
            value = LOWEST_US
        elif value > HIGHEST_US:
            value = HIGHEST_US
        shift = value.bit_length() - SUB_BUCKET_BITS
        if shift < 0:
            shift = 0
        index = (shift << HALF_BITS) + (value >> shift)
        cells = self._cells
        cells[index] = cells.get(index, 0) + 1
        self.total += 1
        self.sum_us += value

    def take(self) -> LatencyCells:
        """Return the counts and start again."""
        cells = LatencyCells(self._cells)
        self.total = 0
        self.sum_us = 0
        self._cells = {}
        return cells

    def histogram(self) -> HdrHistogram:
        """Return the durations counted so far."""
        return LatencyCells(self._cells).histogram()

    def quantiles_s(self, shares: Sequence[float]) -> list[float]:
        """Return quantiles, in seconds; 0 when nothing was counted."""
        if not self.total:
            return [0.0] * len(shares)
        items = sorted(self._cells.items())
        sums = list(accumulate(count for _, count in items))
        found = []
        for share in shares:
            rank = max(1, math.ceil(share * self.total))
            index, _ = items[bisect_left(sums, rank)]
            top = _TEMPLATE.get_highest_equivalent_value(_VALUES[index])
            found.append(top / US_PER_S)
        return found


_TEMPLATE = new_histogram()
_VALUES = [_TEMPLATE.get_value_from_index(i) for i in range(_TEMPLATE.counts_len)]
