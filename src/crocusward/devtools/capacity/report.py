"""Fits the measured figures, adds the parts measured here and prints the report."""

import json
import os
import time
from pathlib import Path

import cyclopts

from ._changes import measure_changes
from ._claims import measure_claims
from ._fit import LinearFit, fit_line
from ._memory import measure_memory
from ._mesh import measure_links
from ._routing import measure_routing
from ._target import work_out

Table = dict


def load_results(directory: Path) -> list[Table]:
    """Return what was measured on the deployments."""
    lines = (directory / "results.jsonl").read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


def fit_live(results: list[Table]) -> Table:
    """Return the fits against peers and against backend servers."""
    peers = [r for r in results if "traffic" in r]
    backends = [r for r in results if "traffic" not in r]
    table: Table = {}
    if len(peers) > 1:
        table["per_peer"] = _per_peer(peers)
    if len(backends) > 1:
        table["per_backend"] = _per_backend(backends)
    return table


def _per_peer(results: list[Table]) -> Table:
    steady = [(r["peers"], r["traffic"]["steady"]) for r in results]
    warming = [(r["peers"], r["traffic"]["warming"]) for r in results]
    idle = [(r["peers"], r["idle"]) for r in results]
    changes = [(r["peers"], r["changes"]) for r in results]
    return {
        "idle_control_bytes_s": _fit(idle, "control_bytes_s").as_table(),
        "steady_control_bytes_s": _fit(steady, "control_bytes_s").as_table(),
        "warming_control_bytes_s": _fit(warming, "control_bytes_s").as_table(),
        "idle_cpu_share": _fit(idle, "cpu_share").as_table(),
        "rss_bytes": _fit(idle, "rss_bytes").as_table(),
        "change_bytes": _fit(changes, "bytes_per_change").as_table(),
        "change_in_force_s": _fit(changes, "in_force_s").as_table(),
    }


def _per_backend(results: list[Table]) -> Table:
    idle = [(r["backends"], r["idle"]) for r in results]
    return {
        "idle_cpu_share": _fit(idle, "cpu_share").as_table(),
        "rss_bytes": _fit(idle, "rss_bytes").as_table(),
        "idle_control_bytes_s": _fit(idle, "control_bytes_s").as_table(),
    }


def _fit(rows: list[tuple[int, Table]], name: str) -> LinearFit:
    """Return the line through the medians."""
    return fit_line([(float(size), row[name][0]) for size, row in rows])


def main(directory: Path, *, mode: str = "full") -> None:
    """Print the report on the results in a directory."""
    start_s = time.monotonic()
    results = load_results(directory)
    report: Table = {
        "mode": mode,
        "load_average": [round(x, 1) for x in os.getloadavg()],
        "cores": os.cpu_count(),
        "deployments": results,
        "fits": fit_live(results),
        "links": measure_links(),
        "routing": measure_routing(),
        "changes": measure_changes(),
        "memory": measure_memory(),
        "claims": measure_claims(),
    }
    if len(results) > 1:
        report["target"] = work_out(report)
    report["parts_s"] = round(time.monotonic() - start_s, 1)
    print(json.dumps(report))


if __name__ == "__main__":
    cyclopts.run(main)
