"""Decodes what operators and backend servers write to the store."""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any

from ..desired import (
    BackendEntry,
    CallerLimits,
    DesiredState,
    RouteRule,
    ServiceRule,
    WeightedService,
)
from ..errors import Finding, FindingsError, SourceLocation
from ..logs import Level, log_event
from ._fields import Fields

# Whether a request may run more than once.
_KINDS = {"safe": True, "unsafe": False, "upload": False}
_STATES = {"ready": False, "draining": True}  # whether the server is leaving
DEFAULT_ATTEMPTS = 1


def decode_desired_state(value: bytes) -> DesiredState:
    """Decode the operators' document.

    A route of a kind that is not known serves requests that must not run twice, which
    is safe for any kind.

    Raises:
        FindingsError: All faults of the document.
    """
    top = Fields("desired state", _parse("desired state", value))
    version = _decode_version(top)
    services = {}
    for item in _rows(top.table("services")):
        service = _decode_service(item)
        services[service.name] = service
    unknown: Counter[str] = Counter()
    routes = [_decode_route(item, unknown) for item in _rows(top.table("routes"))]
    limits = top.table("limits")
    state = DesiredState(
        version,
        routes,
        services,
        CallerLimits(
            limits.whole("maxHeaderBytes", low=1),
            limits.whole("maxBodyBytes"),
            limits.duration("headerTimeout"),
            limits.duration("idleTimeout"),
        ),
    )
    top.raise_findings()
    for kind, count in unknown.items():
        log_event(
            "route_kind_unknown",
            Level.WARNING,
            kind=kind,
            routes=count,
            version=version,
            reason="requests of the routes are not repeated once they may have run",
        )
    return state


def decode_backend(id: str, value: bytes) -> BackendEntry:
    """Decode the entry of a backend server.

    Raises:
        FindingsError: All faults of the entry; it names no server to use.
    """
    top = Fields(id, _parse(id, value))
    state = top.text("state")
    if state not in _STATES:
        top.fault("state", f"{state!r} is unknown")
    top.text("version")
    top.whole("seq")
    entry = BackendEntry(
        id,
        top.text("service"),
        top.address("address"),
        top.text("zone"),
        slots=top.whole("slots", low=1),
        leaving=_STATES.get(state, True),
        cold_left_s=top.duration("warmupLeft"),
        born_ms=top.whole("born", default=0),
    )
    top.raise_findings()
    return entry


def _parse(source: str, value: bytes) -> Any:
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as exc:
        place = SourceLocation(source, "")
        raise FindingsError([Finding(place, "syntax", f"no JSON: {exc}")]) from exc


def _decode_version(top: Fields) -> int:
    text = top.text("version")
    try:
        return int(text, 16)
    except ValueError:
        top.fault("version", f"{text!r} is no hexadecimal number")
        return 0


def _rows(table: Fields) -> Iterator[Fields]:
    """Yield the rows of a table that names its columns once."""
    columns = table.raw("columns")
    rows = table.raw("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        table.fault("", "needs columns and rows")
        return
    for index, row in enumerate(rows):
        if not isinstance(row, list) or len(row) > len(columns):
            table.fault(f"rows.{index}", "has another number of values than columns")
            continue
        named = dict(zip(columns, row, strict=False))
        yield Fields("desired state", named, f"rows.{index}", table.findings)


def _decode_service(item: Fields) -> ServiceRule:
    return ServiceRule(
        item.text("name"),
        item.text("healthPath", "/health"),
        item.whole("maxConns", default=0),
        item.duration("warmup", 0.0),
        item.number("warmupPerS", default=0.0),
    )


def _decode_route(item: Fields, unknown: Counter[str]) -> RouteRule:
    """Decode a route, and count its kind if that is not known."""
    kind = item.text("kind")
    prefix = item.text("prefix")
    if kind and kind not in _KINDS:
        unknown[kind] += 1
    timeout_s = item.duration("timeout")
    return RouteRule(
        item.text("name"),
        item.text("host").lower(),
        prefix,
        idempotent=_KINDS.get(kind, False),
        timeout_s=timeout_s,
        objective_s=item.duration("slo", timeout_s),
        priority=item.whole("priority", default=0),
        max_attempts=item.whole("maxAttempts", low=1, default=DEFAULT_ATTEMPTS),
        parts=_decode_parts(item),
        regions=_decode_regions(item),
    )


def _decode_parts(item: Fields) -> list[WeightedService]:
    split = item.raw("trafficSplit")
    if not split:
        return [WeightedService(item.text("service"), 1.0)]
    parts = []
    for index, part in enumerate(split):
        fields = Fields("desired state", part, f"trafficSplit.{index}", item.findings)
        parts.append(WeightedService(fields.text("service"), fields.number("weight")))
    if not any(part.weight > 0.0 for part in parts):
        item.fault("trafficSplit", "needs a weight above 0")
    return parts


def _decode_regions(item: Fields) -> frozenset[str]:
    regions = item.raw("allowedRegions") or []
    if not isinstance(regions, list) or not all(isinstance(r, str) for r in regions):
        item.fault("allowedRegions", "must be a list of texts")
        return frozenset()
    return frozenset(regions)
