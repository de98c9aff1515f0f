"""Snapshots and reports as JSON tables."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from ..errors import CrocusError
from ..metrics import LatencyCells, SeriesCounts, SeriesKey
from ._report import BackendBurn, BurnReport, BurnRow, UnreachableHost
from ._snapshot import HostSnapshot, WindowCounts

Table = dict[str, object]


def encode_snapshot(snapshot: HostSnapshot) -> Table:
    """Return a snapshot as a table."""
    return {
        "host": snapshot.host,
        "region": snapshot.region,
        "windows": [
            {
                "window_s": window.window_s,
                "series": [_encode_series(item) for item in window.series],
            }
            for window in snapshot.windows
        ],
    }


def decode_snapshot(table: Mapping[str, Any]) -> HostSnapshot:
    """Return the snapshot of a table.

    Raises:
        CrocusError: Code ``malformed``: the table is not a snapshot.
    """
    try:
        windows = tuple(
            WindowCounts(
                int(window["window_s"]),
                tuple(_decode_series(item) for item in window["series"]),
            )
            for window in table["windows"]
        )
        return HostSnapshot(str(table["host"]), str(table["region"]), windows)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        message = f"snapshot is malformed: {type(exc).__name__}"
        raise CrocusError(message, code="malformed") from None


def encode_report(report: BurnReport) -> Table:
    """Return a report as a table."""
    return {
        "region": report.region,
        "windows_s": list(report.windows_s),
        "hosts": list(report.hosts),
        "unreachable": [
            {"host": item.host, "reason": item.reason} for item in report.unreachable
        ],
        "rows": [_encode_row(row) for row in report.rows],
    }


def decode_report(table: Mapping[str, Any]) -> BurnReport:
    """Return the report of a table.

    Raises:
        CrocusError: Code ``malformed``: the table is not a report.
    """
    try:
        return BurnReport(
            str(table["region"]),
            tuple(table["windows_s"]),
            tuple(_decode_row(item) for item in table["rows"]),
            tuple(table["hosts"]),
            tuple(
                UnreachableHost(item["host"], item["reason"])
                for item in table["unreachable"]
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        message = f"report is malformed: {type(exc).__name__}"
        raise CrocusError(message, code="malformed") from None


def _encode_series(item: SeriesCounts) -> Table:
    return {
        "key": [getattr(item.key, name) for name in SeriesKey.__slots__],
        "good": item.good,
        "codes": dict(item.codes),
        "backends": dict(item.backends),
        "latency": item.latency.encode().decode("ascii"),
    }


def _decode_series(table: Mapping[str, Any]) -> SeriesCounts:
    key = SeriesKey(*(str(value) for value in table["key"]))
    codes = Counter({str(name): int(n) for name, n in table["codes"].items()})
    backends = Counter({str(name): int(n) for name, n in table["backends"].items()})
    latency = LatencyCells.decode(str(table["latency"]).encode("ascii"))
    return SeriesCounts(key, int(table["good"]), codes, backends, latency)


def _encode_row(row: BurnRow) -> Table:
    table: Table = {name: getattr(row, name) for name in BurnRow.__slots__}
    table["backends"] = [
        {"backend": item.backend, "bad": item.bad} for item in row.backends
    ]
    table["budget_left"] = row.budget_left
    return table


def _decode_row(table: Mapping[str, Any]) -> BurnRow:
    values = {name: table[name] for name in BurnRow.__slots__}
    values["backends"] = tuple(
        BackendBurn(item["backend"], item["bad"]) for item in table["backends"]
    )
    return BurnRow(**values)
