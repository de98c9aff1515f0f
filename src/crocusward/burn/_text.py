"""A report as text."""

import io

from rich.console import Console
from rich.table import Table
from rich.text import Text

from ._report import BurnReport, BurnRow

SECONDS_PER_MINUTE = 60
SECONDS_PER_HOUR = 3600
TEXT_WIDTH = 150
COLUMNS = (
    "contract",
    "service",
    "region",
    "data centre",
    "window",
    "requests",
    "bad",
    "slow",
    "burn avail.",
    "burn lat.",
    "budget left",
    "p99 ms",
    "share",
    "worst backends",
)


def window_name(window_s: int) -> str:
    """Return a short name such as ``5 min`` or ``6 h``."""
    if window_s < SECONDS_PER_HOUR:
        return f"{window_s // SECONDS_PER_MINUTE} min"
    return f"{window_s // SECONDS_PER_HOUR} h"


def render_text(report: BurnReport, width: int = TEXT_WIDTH) -> str:
    """Return the report as a table, with the hosts that are missing."""
    out = io.StringIO()
    console = Console(file=out, width=width)
    table = Table(*COLUMNS)
    for row in report.rows:
        table.add_row(*(Text(cell) for cell in row_cells(row)))
    console.print(f"region {report.region}, {len(report.hosts)} hosts", markup=False)
    console.print(table)
    for item in report.unreachable:
        line = f"not included: {item.host} ({item.reason})"
        console.print(line, markup=False)
    return out.getvalue()


def row_cells(row: BurnRow) -> list[str]:
    """Return the cells of one row, in the order of ``COLUMNS``."""
    worst = ", ".join(f"{item.backend} ({item.bad})" for item in row.backends)
    return [
        row.contract or "(unknown)",
        row.service or "(unknown)",
        row.region,
        row.data_centre or "(none)",
        window_name(row.window_s),
        str(row.total),
        str(row.bad),
        str(row.slow),
        f"{row.availability_burn:.2f}",
        f"{row.latency_burn:.2f}",
        f"{row.budget_left:.0%}",
        f"{row.p99_s * 1000:.1f}",
        "" if row.is_sum else f"{row.share:.0%}",
        worst,
    ]
