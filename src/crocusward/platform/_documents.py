"""Decodes the desired state and the backend entries that the store holds."""

import json
import re
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
from ._fields import FieldReader, show

# Whether a request may run more than once, by the kind of its route.
_IDEMPOTENT_BY_KIND = {"safe": True, "unsafe": False, "upload": False}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
DEFAULT_MAX_ATTEMPTS = 1
MAX_ID_CHARS = 200  # limit of the store for keys
MAX_VERSION_DIGITS = 16
_VERSION_PATTERN = re.compile(rf"[0-9a-fA-F]{{1,{MAX_VERSION_DIGITS}}}")
_ID_PATTERN = re.compile(rf"[!-~]{{1,{MAX_ID_CHARS}}}")  # it is sent in a header


def decode_desired_state(value: bytes) -> DesiredState:
    """Decode the operators' desired state.

    Requests of a route of unknown kind are treated as non-idempotent, which is safe
    for every kind.

    Raises:
        FindingsError: The document is invalid; lists all findings.
    """
    root = FieldReader("desired state", _parse_json("desired state", value))
    version = _decode_version(root)
    services = {}
    for fields in _iter_rows(root.get_object("services")):
        service = _decode_service(fields)
        services[service.name] = service
    unknown_kinds: Counter[str] = Counter()
    routes = [
        _decode_route(fields, unknown_kinds)
        for fields in _iter_rows(root.get_object("routes"))
    ]
    limits = root.get_object("limits")
    state = DesiredState(
        version,
        routes,
        services,
        CallerLimits(
            limits.get_integer("maxHeaderBytes", minimum=1),
            limits.get_integer("maxBodyBytes"),
            limits.get_duration("headerTimeout"),
            limits.get_duration("idleTimeout"),
        ),
    )
    root.raise_findings()
    for kind, count in unknown_kinds.items():
        log_event(
            "route_kind_unknown",
            Level.WARNING,
            kind=kind,
            routes=count,
            version=version,
            reason="requests of these routes are not retried once they may have run",
        )
    return state


def decode_backend(id: str, value: bytes) -> BackendEntry:
    """Decode the entry of a backend server.

    Raises:
        FindingsError: The entry is invalid; lists all findings.
    """
    root = FieldReader(id, _parse_json(id, value))
    if _ID_PATTERN.fullmatch(id) is None:
        root.add_finding("", f"the id {show(id)} cannot be sent in a header")
    state = root.get_text("state")
    if state not in _LEAVING_BY_STATE:
        root.add_finding("state", f"unknown state {show(state)}")
    root.get_text("version")
    entry = BackendEntry(
        id,
        root.get_text("service"),
        root.get_address("address"),
        root.get_text("zone"),
        slots=root.get_integer("slots", minimum=1),
        leaving=_LEAVING_BY_STATE.get(state, True),
        cold_left_s=root.get_duration("warmupLeft"),
        started_unix_ms=root.get_integer("born", default=0),
        seq=root.get_integer("seq"),
    )
    root.raise_findings()
    return entry


def _parse_json(source: str, value: bytes) -> Any:
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as exc:
        place = SourceLocation(source, "")
        raise FindingsError([Finding(place, "syntax", f"invalid JSON: {exc}")]) from exc


def _decode_version(root: FieldReader) -> int:
    text = root.get_text("version")
    if _VERSION_PATTERN.fullmatch(text) is None:
        root.add_finding("version", f"{show(text)} is not a hexadecimal number")
        return 0
    return int(text, 16)


def _iter_rows(table: FieldReader) -> Iterator[FieldReader]:
    """Yield a reader for each row of a table with a common list of columns."""
    columns = table.get_value("columns")
    rows = table.get_value("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        table.add_finding("", "must have lists named columns and rows")
        return
    if not all(isinstance(name, str) for name in columns):
        table.add_finding("columns", "must be a list of strings")
        return
    for index, row in enumerate(rows):
        if not isinstance(row, list) or len(row) > len(columns):
            table.add_finding(
                f"rows.{index}", "must be a list with no more values than columns"
            )
            continue
        values_by_column = dict(zip(columns, row, strict=False))
        yield FieldReader(
            "desired state", values_by_column, f"rows.{index}", table.findings
        )


def _decode_service(fields: FieldReader) -> ServiceRule:
    return ServiceRule(
        fields.get_text("name"),
        fields.get_text("healthPath", "/health"),
        fields.get_integer("maxConns", default=0),
        fields.get_duration("warmup", 0.0),
        fields.get_number("warmupPerS", default=0.0),
    )


def _decode_route(fields: FieldReader, unknown_kinds: Counter[str]) -> RouteRule:
    """Decode a route; add its kind to ``unknown_kinds`` if that is not known."""
    kind = fields.get_text("kind")
    prefix = fields.get_text("prefix")
    if kind and kind not in _IDEMPOTENT_BY_KIND:
        unknown_kinds[kind] += 1
    timeout_s = fields.get_duration("timeout")
    return RouteRule(
        fields.get_text("name"),
        fields.get_text("host").lower(),
        prefix,
        idempotent=_IDEMPOTENT_BY_KIND.get(kind, False),
        timeout_s=timeout_s,
        objective_s=fields.get_duration("slo", timeout_s),
        priority=fields.get_integer("priority", default=0),
        max_attempts=fields.get_integer(
            "maxAttempts", minimum=1, default=DEFAULT_MAX_ATTEMPTS
        ),
        parts=_decode_parts(fields),
        regions=_decode_regions(fields),
    )


def _decode_parts(fields: FieldReader) -> list[WeightedService]:
    split = fields.get_value("trafficSplit")
    if not split:
        return [WeightedService(fields.get_text("service"), 1.0)]
    if not isinstance(split, list):
        fields.add_finding("trafficSplit", "must be a list")
        return []
    parts = []
    for index, part in enumerate(split):
        part_fields = FieldReader(
            "desired state", part, f"trafficSplit.{index}", fields.findings
        )
        parts.append(
            WeightedService(
                part_fields.get_text("service"), part_fields.get_number("weight")
            )
        )
    if not any(part.weight > 0.0 for part in parts):
        fields.add_finding("trafficSplit", "must have a weight above 0")
    return parts


def _decode_regions(fields: FieldReader) -> frozenset[str]:
    regions = fields.get_value("allowedRegions") or []
    if not isinstance(regions, list) or not all(isinstance(r, str) for r in regions):
        fields.add_finding("allowedRegions", "must be a list of strings")
        return frozenset()
    return frozenset(regions)
