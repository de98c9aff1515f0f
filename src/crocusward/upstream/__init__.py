"""HTTP/1.1 client for backend servers; it never retries a request."""

from ._client import HttpUpstream
from ._connection import (
    CUT,
    LATE,
    SILENT,
    AnswerMatch,
    ConnectionHistory,
    HttpAnswer,
)
from ._encode import has_no_stray_control_chars
from ._headers import (
    HOP_BY_HOP_NAMES,
    HeaderNames,
    find_values,
    parse_digits,
    parse_rate_limit,
    parse_retry_after,
    select_end_to_end_headers,
)
from ._interface import Upstream, UpstreamRequest
from ._memory import AnswerMemoryBudget
from ._pool import HttpPool
from ._read_pacer import PacedReads, ReadPacer

__all__ = [
    "CUT",
    "LATE",
    "SILENT",
    "HOP_BY_HOP_NAMES",
    "AnswerMatch",
    "AnswerMemoryBudget",
    "ConnectionHistory",
    "HeaderNames",
    "HttpAnswer",
    "HttpPool",
    "HttpUpstream",
    "PacedReads",
    "ReadPacer",
    "Upstream",
    "UpstreamRequest",
    "find_values",
    "parse_digits",
    "parse_rate_limit",
    "parse_retry_after",
    "select_end_to_end_headers",
    "has_no_stray_control_chars",
]
