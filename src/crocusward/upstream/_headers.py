"""Header names of the platform and removal of hop-by-hop headers."""

import re
from collections.abc import Collection, Iterable, Sequence

from ..model import Record

HOP_BY_HOP_NAMES = frozenset(
    {
        b"connection",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Bounded, so that a number without end is not read as a limit.
_RATE_PATTERN = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
MAX_DIGITS = 8  # a day in milliseconds
MAX_RETRY_AFTER_S = 3600.0  # that a server may name


class HeaderNames(Record):
    """Names of the headers exchanged with backend servers, in lower case.

    Attributes:
        deadline: Time left for the request, in milliseconds.
        depth: Number of calls above this one.
        request_id: Id of the request, echoed in the answer.
        load: Number of requests in flight at the backend server.
        boot: Boot id of the backend server.
        shed: "1" with status 503 if the request was refused before it ran.
        draining: "1" if the backend server is draining.
        rate_limit: Requests per second that the backend server takes from all hosts.
    """

    __slots__ = (
        "deadline",
        "depth",
        "request_id",
        "load",
        "boot",
        "shed",
        "draining",
        "rate_limit",
    )

    def __init__(
        self,
        *,
        deadline: str = "crocusward-deadline-ms",
        depth: str = "crocusward-depth",
        request_id: str = "x-request-id",
        load: str = "x-backend-load",
        boot: str = "x-backend-boot",
        shed: str = "x-backend-shed",
        draining: str = "x-backend-draining",
        rate_limit: str = "x-backend-rate-limit",
    ) -> None:
        self.deadline = deadline.lower().encode("ascii")
        self.depth = depth.lower().encode("ascii")
        self.request_id = request_id.lower().encode("ascii")
        self.load = load.lower().encode("ascii")
        self.boot = boot.lower().encode("ascii")
        self.shed = shed.lower().encode("ascii")
        self.draining = draining.lower().encode("ascii")
        self.rate_limit = rate_limit.lower().encode("ascii")


def parse_digits(value: bytes) -> int | None:
    """Return a number of up to ``MAX_DIGITS`` decimal digits, or None."""
    text = value.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None


def parse_rate_limit(values: Sequence[bytes]) -> float:
    """Return the rate limit that an answer names, in requests per second.

    Args:
        values: Values of all header fields that name it.

    Raises:
        ValueError: The fields name no positive decimal number, or more than one.
    """
    if len(values) != 1:
        raise ValueError(f"named {len(values)} times in one answer")
    text = values[0].strip()
    if _RATE_PATTERN.fullmatch(text) is None or float(text) <= 0.0:
        raise ValueError(f"{text[:24]!r} is not a positive decimal number")
    return float(text)


def parse_retry_after(values: Sequence[bytes]) -> float:
    """Return the time that an answer names in Retry-After, in seconds.

    Args:
        values: Values of all header fields that name it.

    Raises:
        ValueError: The fields name no decimal number of at most ``MAX_RETRY_AFTER_S``,
            or more than one.
    """
    if len(values) != 1:
        raise ValueError(f"named {len(values)} times in one answer")
    text = values[0].strip()
    if _RATE_PATTERN.fullmatch(text) is None or float(text) > MAX_RETRY_AFTER_S:
        raise ValueError(f"{text[:24]!r} is not a number of seconds")
    return float(text)


def find_values(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> set[bytes]:
    """Return the different values of one header."""
    return {value for found, value in headers if found == name}


def select_end_to_end_headers(
    headers: Sequence[tuple[bytes, bytes]], dropped_names: Collection[bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers without ``dropped_names`` and hop-by-hop headers.

    Args:
        headers: Headers with names in lower case.
        dropped_names: Names to leave out, a superset of ``HOP_BY_HOP_NAMES``.
    """
    kept = [header for header in headers if header[0] not in dropped_names]
    if len(kept) != len(headers):
        named = _parse_connection_options(headers)
        if named:
            kept = [header for header in kept if header[0] not in named]
    return kept


def _parse_connection_options(headers: Sequence[tuple[bytes, bytes]]) -> set[bytes]:
    tokens: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            tokens.update(token.strip().lower() for token in value.split(b","))
    return tokens - {b"close", b"keep-alive"}
