"""The metrics of one daemon and their exposition as text."""

from collections import Counter
from collections.abc import Callable

from ..errors import CrocusError, RefusalCode
from ._latency import US_PER_S, LatencyCells, LatencyRecorder
from ._series import SeriesKey, SeriesTable
from ._steps import Steps, run_steps, run_steps_apart
from ._window import MAX_BACKENDS_KEPT, Block, BlockRing, SeriesCounts

PREFIX = "crocusward_"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
LATENCIES = (
    ("latency_seconds", "total"),
    ("added_latency_seconds", "added"),
    ("queue_wait_seconds", "queue"),
)
MAX_BACKENDS_COUNTED = 600  # per series and minute; the target size has 540
ANSWERED = "answered"
BACKEND_ERROR = "backend_error"  # the backend server answered with a 5xx status
# Refusals that the caller causes; they use none of the service-level budget.
CALLER_CODES = frozenset(
    {
        RefusalCode.BAD_REQUEST.value,
        RefusalCode.BODY_TOO_LARGE.value,
        RefusalCode.UNKNOWN_CONTRACT.value,
        RefusalCode.UNKNOWN_SERVICE.value,
        RefusalCode.UNAUTHORISED.value,
        RefusalCode.WRONG_REGION.value,
        RefusalCode.RATE_LIMITED.value,
        RefusalCode.TOO_MANY_IN_FLIGHT.value,
        RefusalCode.KEY_EXPIRED.value,
        RefusalCode.KEY_REUSED.value,
    }
)


class _Summary:
    """A latency of one label set.

    Quantiles are computed once a minute, because computing them for 400 label sets
    at each scrape would use more than 1% of a core.
    """

    __slots__ = ("recorder", "quantiles_s", "_total", "_sum_us")

    def __init__(self) -> None:
        self.recorder = LatencyRecorder()
        self.quantiles_s: list[float] | None = None
        self._total = 0
        self._sum_us = 0

    def close(self) -> LatencyCells:
        """Return the counts of the past minute and start the next."""
        self.quantiles_s = self.recorder.quantiles_s(QUANTILES)
        self._total += self.recorder.total
        self._sum_us += self.recorder.sum_us
        return self.recorder.take()

    def expose(self, lines: list[str], name: str, labels: str) -> None:
        """Add the lines of this summary; ``labels`` ends without a brace."""
        values = self.quantiles_s or self.recorder.quantiles_s(QUANTILES)
        for share, found_s in zip(QUANTILES, values, strict=True):
            line = f'{PREFIX}{name}{{{labels},quantile="{share:g}"}} {found_s:g}'
            lines.append(line)
        sum_s = (self._sum_us + self.recorder.sum_us) / US_PER_S
        lines.append(f"{PREFIX}{name}_sum{{{labels}}} {sum_s:.12g}")
        total = self._total + self.recorder.total
        lines.append(f"{PREFIX}{name}_count{{{labels}}} {total}")


class _Series:
    """Recorders of one label set; ``bad`` and ``backends`` are of this minute."""

    __slots__ = ("total", "added", "queue", "codes", "bad", "backends")

    def __init__(self) -> None:
        self.total = _Summary()
        self.added = _Summary()
        self.queue = _Summary()
        self.codes: Counter[str] = Counter()
        self.bad: Counter[str] = Counter()
        self.backends: Counter[str] = Counter()


class CounterFamily:
    """A counter with labels.

    Args:
        name: Name without prefix, ending in ``_total``.
        help: One line of description.
        labels: Names of the labels.
    """

    __slots__ = ("name", "help", "labels", "table")

    def __init__(self, name: str, help: str, labels: tuple[str, ...]) -> None:
        self.name = name
        self.help = help
        self.labels = labels
        self.table: SeriesTable[list[float]] = SeriesTable(lambda: [0.0], len(labels))

    def add(self, *values: str, amount: float = 1.0) -> None:
        """Increase the counter of one label set."""
        self.table.get(values)[0] += amount


class GaugeFamily(CounterFamily):
    """A value that is set, with labels."""

    __slots__ = ()

    def set(self, value: float, *values: str) -> None:
        """Set the value of one label set."""
        self.table.get(values)[0] = value


class Metrics:
    """All metrics of one daemon.

    Args:
        now: Monotonic clock, in seconds.
    """

    __slots__ = ("ring", "_now", "_series", "_families", "_callbacks", "_start_s")

    def __init__(self, now: Callable[[], float]) -> None:
        self.ring = BlockRing()
        self._now = now
        self._series: SeriesTable[_Series] = SeriesTable(_Series, 4)
        self._families: dict[str, CounterFamily] = {}
        self._callbacks: dict[str, tuple[str, Callable[[], float]]] = {}
        self._start_s = now()

    def counter(
        self, name: str, help: str, labels: tuple[str, ...] = ()
    ) -> CounterFamily:
        """Return the counter called ``name``, made at the first call."""
        return self._families.setdefault(name, CounterFamily(name, help, labels))

    def gauge(self, name: str, help: str, labels: tuple[str, ...] = ()) -> GaugeFamily:
        """Return the gauge called ``name``, made at the first call."""
        family = self._families.setdefault(name, GaugeFamily(name, help, labels))
        if not isinstance(family, GaugeFamily):
            raise CrocusError(f"metric {name!r} is a counter")
        return family

    def watch(self, name: str, help: str, read: Callable[[], float]) -> None:
        """Expose the result of ``read`` as a gauge without labels."""
        self._callbacks[name] = (help, read)

    def record_call(
        self,
        contract: str,
        service: str,
        region: str,
        data_centre: str,
        code: str,
        *,
        total_s: float,
        added_s: float = 0.0,
        queue_s: float = 0.0,
        backend: str = "",
    ) -> None:
        """Record one finished request.

        The caller passes only names that the configuration knows.

        Args:
            contract: Contract name, "" if unknown.
            service: Service name, "" if unknown.
            region: Region that served it.
            data_centre: Data centre that served it.
            code: ``ANSWERED``, ``BACKEND_ERROR`` or a refusal code.
            total_s: Time from receipt to the end, in seconds.
            added_s: Time that was spent here and not at a backend server, in
                seconds.
            queue_s: Time in the queue, in seconds.
            backend: Backend id, if one was involved.
        """
        series = self._series.get((contract, service, region, data_centre))
        series.codes[code] += 1
        if code == ANSWERED:
            series.total.recorder.record(total_s)
            series.added.recorder.record(added_s)
            series.queue.recorder.record(queue_s)
        elif code not in CALLER_CODES:
            series.bad[code] += 1
            if backend and len(series.backends) < MAX_BACKENDS_COUNTED:
                series.backends[backend] += 1

    def close_minute(self) -> None:
        """Move the counts of the past minute to the ring; call once a minute."""
        run_steps(self._close_steps())

    async def close_minute_in_steps(self) -> None:
        """Do the same, letting other tasks run after each series."""
        await run_steps_apart(self._close_steps())

    def _close_steps(self) -> Steps[None]:
        now_s = self._now()
        closed = []
        for labels, item in list(self._series.items.items()):
            if item.total.recorder.total or item.bad:
                closed.append(_close(SeriesKey(*labels), item))
                yield
            else:
                for summary in (item.total, item.added, item.queue):
                    summary.quantiles_s = None
        block = Block(self._start_s, now_s - self._start_s, tuple(closed))
        self._start_s = now_s
        yield from self.ring.add_steps(block)

    def expose(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return run_steps(self._expose_steps())

    async def expose_in_steps(self) -> str:
        """Do the same, letting other tasks run after each series."""
        return await run_steps_apart(self._expose_steps())

    def _expose_steps(self) -> Steps[str]:
        lines: list[str] = []
        self._expose_requests(lines)
        yield
        for name, attribute in LATENCIES:
            text = "Answered requests, in seconds; quantiles of the last minute."
            _head(lines, name, "summary", text)
            for values, series in list(self._series.items.items()):
                labels = _labels(SeriesKey.__slots__, values)[1:-1]
                getattr(series, attribute).expose(lines, name, labels)
                yield
        for family in self._families.values():
            kind = "gauge" if isinstance(family, GaugeFamily) else "counter"
            _head(lines, family.name, kind, family.help)
            for values, cell in family.table.items.items():
                shown = _labels(family.labels, values)
                lines.append(f"{PREFIX}{family.name}{shown} {cell[0]:.12g}")
            yield
        for name, (help, read) in self._callbacks.items():
            _head(lines, name, "gauge", help)
            lines.append(f"{PREFIX}{name} {read():.12g}")
        return "\n".join(lines) + "\n"

    def _expose_requests(self, lines: list[str]) -> None:
        _head(lines, "requests_total", "counter", "Finished requests by outcome.")
        names = (*SeriesKey.__slots__, "code")
        for values, series in self._series.items.items():
            for code, count in series.codes.items():
                labels = _labels(names, (*values, code))
                lines.append(f"{PREFIX}requests_total{labels} {count}")


def _close(key: SeriesKey, item: _Series) -> SeriesCounts:
    worst = Counter(dict(item.backends.most_common(MAX_BACKENDS_KEPT)))
    good = item.total.recorder.total
    counts = SeriesCounts(key, good, Counter(item.bad), worst, item.total.close())
    item.added.close()
    item.queue.close()
    item.bad.clear()
    item.backends.clear()
    return counts


def _head(lines: list[str], name: str, kind: str, help: str) -> None:
    lines.append(f"# HELP {PREFIX}{name} {help}")
    lines.append(f"# TYPE {PREFIX}{name} {kind}")


def _labels(names: tuple[str, ...], values: tuple[str, ...]) -> str:
    if not names:
        return ""
    pairs = (
        f'{name}="{_quote(value)}"' for name, value in zip(names, values, strict=True)
    )
    return "{" + ",".join(pairs) + "}"


def _quote(value: str) -> str:
    value = value.replace("\\", "\\\\").replace('"', '\\"')
    return value.replace("\n", "\\n")
