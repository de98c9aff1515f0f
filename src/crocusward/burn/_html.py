"""A report as one self-contained HTML page with plots."""

import html
import io
from collections.abc import Iterable
from typing import Any

from ._report import BurnReport, BurnRow
from ._text import COLUMNS, row_cells, window_name

PLOT_WIDTH_IN = 9.0
BAR_HEIGHT_IN = 0.3
MIN_HEIGHT_IN = 1.6
MAX_BARS = 60
STYLE = """
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.5em; text-align: left; }
tr.sum { font-weight: bold; }
p.missing { color: #a00; }
svg { max-width: 100%; height: auto; }
"""


def render_html(report: BurnReport) -> str:
    """Return the page; it loads nothing from elsewhere."""
    sums = [row for row in report.rows if row.is_sum][:MAX_BARS]
    longest = max(report.windows_s, default=0)
    parts = [row for row in report.rows if not row.is_sum and row.window_s == longest][
        :MAX_BARS
    ]
    region = html.escape(report.region)
    body = [
        f"<h1>Service-level burn, region {region}</h1>",
        f"<p>Counts of {len(report.hosts)} hosts: {_names(report.hosts)}</p>",
    ]
    body += [
        f'<p class="missing">Not included: {html.escape(item.host)} '
        f"({html.escape(item.reason)})</p>"
        for item in report.unreachable
    ]
    if sums:
        body += ["<h2>Burn rate</h2>", _plot_burn(sums)]
    if parts:
        body += ["<h2>Which data centre burns it</h2>", _plot_shares(parts)]
    body += ["<h2>All windows</h2>", _table(report.rows)]
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Burn, {region}</title><style>{STYLE}</style></head><body>\n"
        + "\n".join(body)
        + "\n</body></html>\n"
    )


def _names(names: Iterable[str]) -> str:
    return html.escape(", ".join(names))


def _table(rows: Iterable[BurnRow]) -> str:
    head = "".join(f"<th>{html.escape(name)}</th>" for name in COLUMNS)
    lines = [f"<table><tr>{head}</tr>"]
    for row in rows:
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in row_cells(row))
        kind = ' class="sum"' if row.is_sum else ""
        lines.append(f"<tr{kind}>{cells}</tr>")
    return "\n".join([*lines, "</table>"])


def _plot_burn(rows: list[BurnRow]) -> str:
    labels = [f"{r.contract} / {r.service}, {window_name(r.window_s)}" for r in rows]
    values = [max(row.availability_burn, row.latency_burn) for row in rows]
    return _bar_plot(labels, values, "burn rate (1 uses exactly the budget)", 1.0)


def _plot_shares(rows: list[BurnRow]) -> str:
    labels = [f"{r.contract} / {r.service}, {r.data_centre or '(none)'}" for r in rows]
    values = [row.share * 100 for row in rows]
    return _bar_plot(labels, values, "share of faults and slow requests, %", None)


def _bar_plot(
    labels: list[str], values: list[float], title: str, mark: float | None
) -> str:
    # matplotlib takes about 0.3 s to import, which only the HTML form needs.
    import matplotlib
    from matplotlib.figure import Figure

    with matplotlib.rc_context({"svg.fonttype": "none", "text.parse_math": False}):
        height_in = max(MIN_HEIGHT_IN, BAR_HEIGHT_IN * len(labels) + 1.0)
        figure = Figure(figsize=(PLOT_WIDTH_IN, height_in), layout="constrained")
        axes = figure.subplots()
        places = range(len(labels))
        over = [mark is not None and value > mark for value in values]
        axes.barh(places, values, color=["#b03030" if x else "#30609a" for x in over])
        axes.set_yticks(places, labels)
        axes.invert_yaxis()
        axes.set_xlabel(title)
        if mark is not None:
            axes.axvline(mark, color="black", linewidth=1)
        return _to_svg(figure)


def _to_svg(figure: Any) -> str:
    out = io.StringIO()
    nothing = dict.fromkeys(("Date", "Creator", "Format", "Type"))
    figure.savefig(out, format="svg", metadata=nothing)
    text = out.getvalue()
    return text[text.index("<svg") :]
