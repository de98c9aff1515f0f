"""Report on service-level burn, merged from the snapshots of all hosts."""

from ._codec import decode_report, decode_snapshot, encode_report, encode_snapshot
from ._html import render_html
from ._report import BackendBurn, BurnReport, BurnRow, UnreachableHost, build_report
from ._residency import is_visible
from ._service import BurnService, FetchSnapshots
from ._snapshot import WINDOWS_S, HostSnapshot, PeerSnapshot, WindowCounts
from ._text import render_text, window_name

__all__ = [
    "WINDOWS_S",
    "BackendBurn",
    "BurnReport",
    "BurnRow",
    "BurnService",
    "FetchSnapshots",
    "HostSnapshot",
    "PeerSnapshot",
    "UnreachableHost",
    "WindowCounts",
    "build_report",
    "decode_report",
    "decode_snapshot",
    "encode_report",
    "encode_snapshot",
    "is_visible",
    "render_html",
    "render_text",
    "window_name",
]
