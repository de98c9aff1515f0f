"""Requests that crash the backend servers that run them, as known to all hosts.

Nothing here does I/O; callers pass the time in.
"""

from ._identity import (
    DIGEST_BYTES,
    crash_id,
    request_digest,
    request_digests,
    target_digest,
)
from ._registry import (
    MAX_CRASHES,
    CrashedRequest,
    CrashRegistry,
    CrashSummary,
)

__all__ = [
    "DIGEST_BYTES",
    "MAX_CRASHES",
    "CrashRegistry",
    "CrashSummary",
    "CrashedRequest",
    "crash_id",
    "request_digest",
    "request_digests",
    "target_digest",
]
