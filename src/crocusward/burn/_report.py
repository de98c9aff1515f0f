"""Computes burn rates from merged counts."""

from collections import Counter
from collections.abc import Iterable

from ..metrics import (
    US_PER_S,
    SeriesCounts,
    SeriesKey,
    SeriesMerger,
    Steps,
    count_at_or_below,
    run_steps,
)
from ..model import FleetConfig, Record, ServiceLevel
from ._residency import is_visible
from ._snapshot import HostSnapshot, PeerSnapshot

ALL = "*"  # region and data centre of a row that sums up all of them
MAX_BURN = 1_000_000.0  # stands for any burn of a target that allows no fault
MAX_BACKENDS_SHOWN = 5
MAX_BACKENDS_MERGED = 64


class BackendBurn(Record):
    """Faults of one backend server.

    Attributes:
        backend: Backend id.
        bad: Requests that counted against the service there.
    """

    __slots__ = ("backend", "bad")

    def __init__(self, backend: str, bad: int) -> None:
        self.backend = backend
        self.bad = bad


class UnreachableHost(Record):
    """A host whose counts are missing from a report.

    Attributes:
        host: Name of the host.
        reason: Why its counts are missing.
    """

    __slots__ = ("host", "reason")

    def __init__(self, host: str, reason: str) -> None:
        self.host = host
        self.reason = reason


class BurnRow(Record):
    """Burn of one contract and service in one window.

    Attributes:
        contract: Contract name.
        service: Service name.
        region: Region, or "*" for the sum.
        data_centre: Data centre, or "*" for the sum.
        window_s: Length of the window, in seconds.
        total: Requests that count.
        bad: Requests that were not answered as promised.
        slow: Answered requests above the latency target.
        share: Share of the faults and slow requests of the sum, from 0 to 1.
        availability_target: Promised share of answered requests.
        availability_burn: Speed of using the budget; 1 uses all of it.
        latency_target_s: Latency target, in seconds.
        latency_share_target: Promised share of requests within it.
        latency_burn: Speed of using the budget of slow requests.
        p50_s: Median latency, in seconds.
        p99_s: 99th percentile of latency, in seconds.
        codes: Number of faults by code.
        backends: Backend servers with the most faults.
    """

    __slots__ = (
        "contract",
        "service",
        "region",
        "data_centre",
        "window_s",
        "total",
        "bad",
        "slow",
        "share",
        "availability_target",
        "availability_burn",
        "latency_target_s",
        "latency_share_target",
        "latency_burn",
        "p50_s",
        "p99_s",
        "codes",
        "backends",
    )
    contract: str
    service: str
    region: str
    data_centre: str
    window_s: int
    total: int
    bad: int
    slow: int
    share: float
    availability_target: float
    availability_burn: float
    latency_target_s: float
    latency_share_target: float
    latency_burn: float
    p50_s: float
    p99_s: float
    codes: dict[str, int]
    backends: tuple[BackendBurn, ...]

    def __init__(self, **values: object) -> None:
        for name in self.__slots__:
            setattr(self, name, values.pop(name))
        if values:
            raise TypeError(f"unknown fields {sorted(values)}")

    @property
    def is_sum(self) -> bool:
        """True if the row sums up all data centres."""
        return self.data_centre == ALL

    @property
    def budget_left(self) -> float:
        """Share of the window's budget that is left; negative if overspent."""
        return 1.0 - max(self.availability_burn, self.latency_burn)


class BurnReport(Record):
    """A report for one region.

    Attributes:
        region: Region that the report is made in.
        windows_s: Lengths of the windows, in seconds.
        rows: Sums, each followed by its parts.
        hosts: Hosts whose counts are included.
        unreachable: Hosts whose counts are missing.
    """

    __slots__ = ("region", "windows_s", "rows", "hosts", "unreachable")

    def __init__(
        self,
        region: str,
        windows_s: tuple[int, ...],
        rows: tuple[BurnRow, ...],
        hosts: tuple[str, ...],
        unreachable: tuple[UnreachableHost, ...],
    ) -> None:
        self.region = region
        self.windows_s = windows_s
        self.rows = rows
        self.hosts = hosts
        self.unreachable = unreachable


def report_steps(
    region: str,
    windows_s: tuple[int, ...],
    peers: Iterable[PeerSnapshot],
    cfg: FleetConfig,
) -> Steps[BurnReport]:
    """Merge the snapshots of hosts, in steps.

    Args:
        region: Region that the report is made in.
        windows_s: Lengths of the windows, in seconds.
        peers: Answers of all hosts, this one included.
        cfg: Configuration with the targets and home regions.
    """
    answers = list(peers)
    reached = [item.snapshot for item in answers if item.snapshot is not None]
    rows: list[BurnRow] = []
    for window_s in windows_s:
        merged = yield from _merge(reached, window_s, region, cfg)
        rows += yield from _window_rows(merged, window_s, cfg)
    rows.sort(key=lambda row: (row.contract, row.service))
    missing = (
        UnreachableHost(item.host, item.reason or "no answer")
        for item in answers
        if item.snapshot is None
    )
    hosts = tuple(sorted(item.host for item in reached))
    return BurnReport(region, windows_s, tuple(rows), hosts, tuple(missing))


def build_report(
    region: str,
    windows_s: tuple[int, ...],
    peers: Iterable[PeerSnapshot],
    cfg: FleetConfig,
) -> BurnReport:
    """Return the report of ``report_steps``."""
    return run_steps(report_steps(region, windows_s, peers, cfg))


def _merge(
    snapshots: Iterable[HostSnapshot], window_s: int, region: str, cfg: FleetConfig
) -> Steps[tuple[SeriesCounts, ...]]:
    merger = SeriesMerger(MAX_BACKENDS_MERGED)
    for snapshot in snapshots:
        for window in snapshot.windows:
            if window.window_s != window_s:
                continue
            for item in window.series:
                if is_visible(item.key, region, cfg):
                    merger.add(item)
                    yield
    return merger.result()


def _window_rows(
    merged: Iterable[SeriesCounts], window_s: int, cfg: FleetConfig
) -> Steps[list[BurnRow]]:
    groups: dict[SeriesKey, list[SeriesCounts]] = {}
    for item in merged:
        group = SeriesKey(item.key.contract, item.key.service, ALL, ALL)
        groups.setdefault(group, []).append(item)
    rows = []
    for key in sorted(groups, key=lambda key: (key.contract, key.service)):
        contract = cfg.contracts.get(key.contract)
        level = contract.level if contract is not None else ServiceLevel()
        parts = [_row(item, window_s, level) for item in groups[key]]
        whole = _row(_sum(key, groups[key]), window_s, level)
        faults = whole.bad + whole.slow
        for part in parts:
            part.share = (part.bad + part.slow) / faults if faults else 0.0
        parts.sort(key=lambda row: -row.share)
        rows += [whole, *parts]
        yield
    return rows


def _sum(key: SeriesKey, parts: Iterable[SeriesCounts]) -> SeriesCounts:
    merger = SeriesMerger(MAX_BACKENDS_MERGED)
    for item in parts:
        merger.add(
            SeriesCounts(key, item.good, item.codes, item.backends, item.latency)
        )
    return merger.result()[0]


def _row(item: SeriesCounts, window_s: int, level: ServiceLevel) -> BurnRow:
    hist = item.latency.histogram()
    slow = item.good - count_at_or_below(hist, level.latency_s)
    total = item.good + item.bad
    worst = Counter(item.backends).most_common(MAX_BACKENDS_SHOWN)
    return BurnRow(
        contract=item.key.contract,
        service=item.key.service,
        region=item.key.region,
        data_centre=item.key.data_centre,
        window_s=window_s,
        total=total,
        bad=item.bad,
        slow=slow,
        share=1.0,
        availability_target=level.availability,
        availability_burn=_burn(item.bad, total, level.availability),
        latency_target_s=level.latency_s,
        latency_share_target=level.latency_share,
        latency_burn=_burn(slow, item.good, level.latency_share),
        p50_s=hist.get_value_at_percentile(50) / US_PER_S if item.good else 0.0,
        p99_s=hist.get_value_at_percentile(99) / US_PER_S if item.good else 0.0,
        codes=dict(sorted(item.codes.items())),
        backends=tuple(BackendBurn(name, count) for name, count in worst),
    )


def _burn(faults: int, total: int, target: float) -> float:
    if not faults or not total:
        return 0.0
    allowed = 1.0 - target
    if allowed <= 0:
        return MAX_BURN
    return min(faults / total / allowed, MAX_BURN)
