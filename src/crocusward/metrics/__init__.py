"""Metrics of a daemon: recorders, counters, gauges and their exposition."""

from ._latency import (
    US_PER_S,
    LatencyCells,
    LatencyRecorder,
    count_at_or_below,
    decode_histogram,
    encode_histogram,
    new_histogram,
)
from ._metrics import (
    ANSWERED,
    BACKEND_ERROR,
    CALLER_CODES,
    CounterFamily,
    GaugeFamily,
    Metrics,
)
from ._series import OTHER, SeriesKey, SeriesTable
from ._steps import Steps, run_steps, run_steps_apart
from ._window import (
    Block,
    BlockRing,
    SeriesCounts,
    SeriesMerger,
    merge_blocks,
    merge_steps,
)

__all__ = [
    "ANSWERED",
    "BACKEND_ERROR",
    "CALLER_CODES",
    "OTHER",
    "US_PER_S",
    "Block",
    "BlockRing",
    "CounterFamily",
    "GaugeFamily",
    "LatencyCells",
    "LatencyRecorder",
    "Metrics",
    "SeriesCounts",
    "SeriesKey",
    "SeriesMerger",
    "SeriesTable",
    "Steps",
    "count_at_or_below",
    "decode_histogram",
    "encode_histogram",
    "merge_blocks",
    "merge_steps",
    "run_steps",
    "run_steps_apart",
    "new_histogram",
]
