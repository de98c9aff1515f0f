"""Validation of change drafts against the current configuration."""

import re
from collections.abc import Callable, Collection, Iterable
from typing import Any

from ..errors import CrocusError, Finding, SourceLocation, nearest_name
from ..model import FleetConfig
from ..registry import Registry
from ._change import Change, ChangeDraft, Operation
from ._draft import ConfigDraft
from ._operations import find_handler
from ._row import ROOT_DIGEST, encode_row

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
HEX_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_TEXT_LENGTH = 200
MAX_OPERATIONS = 200
MAX_RATE_PER_S = 1_000_000.0  # over five times the fleet's target rate
MAX_IN_FLIGHT = 1_000_000
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_DEADLINE_S = 600.0
MAX_WEIGHT = 1_000.0
MAX_SLOTS = 1_024
MAX_CONNECTIONS = 65_535
METHODS = frozenset({"*", "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"})


class FindingCollector:
    """Collects validation findings below a document path.

    Args:
        source: Name of the document.
        path: Path prefix of the findings.
        findings: List to which findings are added.
    """

    __slots__ = ("source", "path", "findings")

    def __init__(self, source: str, path: str, findings: list[Finding]) -> None:
        self.source = source
        self.path = path
        self.findings = findings

    def at(self, path: str) -> "FindingCollector":
        """Return a collector for a nested path."""
        joined = f"{self.path}.{path}" if self.path else path
        return FindingCollector(self.source, joined, self.findings)

    def add(self, path: str, code: str, message: str) -> None:
        """Add a finding."""
        place = SourceLocation(self.source, self.at(path).path)
        self.findings.append(Finding(place, code, message))

    def require_name(self, path: str, name: str) -> None:
        """Require a well-formed name."""
        if not NAME_PATTERN.fullmatch(name):
            self.add(
                path,
                "bad_name",
                f"{name!r} must start with a letter or digit, be at most 63 "
                "characters long, and have only letters, digits, '.', '_' and '-'",
            )

    def require_known(self, path: str, name: str, known: Collection[str]) -> None:
        """Require an existing name."""
        if name in known:
            return
        near = nearest_name(name, known)
        hint = f"; did you mean {near!r}?" if near else ""
        self.add(path, "unknown_name", f"{name!r} is not known{hint}")

    def require_range(self, path: str, value: Any, low: float, high: float) -> None:
        """Require a number from ``low`` to ``high``."""
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if not number or not low <= value <= high:
            self.add(path, "out_of_range", f"{value!r} must be {low:g} to {high:g}")

    def require_whole(self, path: str, value: Any, low: int, high: int) -> None:
        """Require an integer from ``low`` to ``high``."""
        if isinstance(value, int):
            self.require_range(path, value, low, high)
        else:
            self.add(path, "wrong_type", f"{value!r} must be an integer")


Validator = Callable[[ConfigDraft, Any, FindingCollector], None]
VALIDATORS: Registry[Validator] = Registry("validator")


def validate_draft(
    config: FleetConfig, draft: ChangeDraft, source: str = "change"
) -> list[Finding]:
    """Return all findings of a draft; an empty list if it is valid.

    Each operation is checked against the configuration that results from the
    preceding operations.
    """
    findings: list[Finding] = []
    top = FindingCollector(source, "", findings)
    _check_text(top, "change_id", draft.change_id)
    _check_text(top, "author", draft.author)
    if not 1 <= len(draft.operations) <= MAX_OPERATIONS:
        top.add("operations", "out_of_range", f"must be 1 to {MAX_OPERATIONS}")
    state = ConfigDraft(config)
    for index, op in enumerate(draft.operations):
        _check_operation(state, op, top.at(f"operations[{index}]"))
    if not findings:
        _check_size(top, draft)
    return findings


def _check_text(out: FindingCollector, path: str, text: str) -> None:
    if not text or len(text) > MAX_TEXT_LENGTH or not text.isprintable():
        out.add(
            path, "bad_text", f"must be 1 to {MAX_TEXT_LENGTH} printable characters"
        )


def _check_operation(state: ConfigDraft, op: Operation, out: FindingCollector) -> None:
    validator = VALIDATORS.get(type(op).__name__)
    validator(state, op, out)
    find_handler(op).apply(state, op)


def _check_size(out: FindingCollector, draft: ChangeDraft) -> None:
    change = Change(
        draft.base + 1, draft.change_id, draft.base, draft.author, 0, draft.operations
    )
    try:
        encode_row(change, ROOT_DIGEST)
    except CrocusError as exc:
        out.add("operations", "too_large", str(exc))


@VALIDATORS.register("PutContract")
def _put_contract(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    contract = op.contract
    out = out.at("contract")
    out.require_name("name", contract.name)
    out.require_known("customer", contract.customer, state.customers)
    if not contract.services:
        out.add("services", "missing", "at least one service is needed")
    for service in sorted(contract.services):
        out.require_known("services", service, state.services)
    _check_limits(contract.limits, out.at("limits"))
    regions = state.regions()
    _check_regions(contract.home.serve, regions, out, "home.serve")
    _check_regions(contract.home.keep, regions, out, "home.keep")
    for index, route in enumerate(contract.routes):
        _check_route(contract, route, regions, out.at(f"routes[{index}]"))
    _check_level(contract.level, out.at("level"))
    out.require_range("weight", contract.weight, 0.001, MAX_WEIGHT)
    key = contract.caller_key_sha256
    if key and not HEX_SHA256_PATTERN.fullmatch(key):
        out.add("caller_key_sha256", "bad_digest", "must be 64 hexadecimal digits")


def _check_limits(limits: Any, out: FindingCollector) -> None:
    out.require_range("rate", limits.rate, 0.001, MAX_RATE_PER_S)
    out.require_range("burst", limits.burst, 1, MAX_RATE_PER_S)
    out.require_whole("in_flight", limits.in_flight, 1, MAX_IN_FLIGHT)
    out.require_whole("body_bytes", limits.body_bytes, 0, MAX_BODY_BYTES)
    out.require_whole("answer_bytes", limits.answer_bytes, 0, MAX_BODY_BYTES)
    out.require_range("deadline_s", limits.deadline_s, 0.001, MAX_DEADLINE_S)


def _check_level(level: Any, out: FindingCollector) -> None:
    out.require_range("availability", level.availability, 0.0, 1.0)
    out.require_range("latency_s", level.latency_s, 0.0001, MAX_DEADLINE_S)
    out.require_range("latency_share", level.latency_share, 0.0, 1.0)


def _check_regions(
    names: Iterable[str], regions: set[str], out: FindingCollector, path: str
) -> None:
    for name in sorted(names):
        if name in regions:
            continue
        near = nearest_name(name, regions)
        hint = f"; did you mean {near!r}?" if near else ""
        out.add(path, "unknown_region", f"no data centre is in region {name!r}{hint}")


def _check_route(
    contract: Any, route: Any, regions: set[str], out: FindingCollector
) -> None:
    if route.service not in contract.services:
        out.add(
            "service",
            "service_not_listed",
            f"{route.service!r} is not among the services of the contract",
        )
    out.require_known("method", route.method, METHODS)
    if route.prefix and not route.prefix.startswith("/"):
        out.add("prefix", "bad_prefix", f"{route.prefix!r} must start with '/'")
    if len(route.prefix) > MAX_TEXT_LENGTH:
        out.add("prefix", "too_long", f"must have at most {MAX_TEXT_LENGTH} characters")
    _check_regions(route.serve_regions, regions, out, "serve_regions")


@VALIDATORS.register("DeleteContract")
def _delete_contract(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    out.require_known("name", op.name, state.contracts)


@VALIDATORS.register("PutCustomer")
def _put_customer(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    out.require_name("customer.name", op.customer.name)
    _check_text(out, "customer.team", op.customer.team)


@VALIDATORS.register("DeleteCustomer")
def _delete_customer(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    out.require_known("name", op.name, state.customers)
    users = [c.name for c in state.contracts.values() if c.customer == op.name]
    _refuse_use(users, out)


@VALIDATORS.register("PutService")
def _put_service(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    out = out.at("service")
    out.require_name("name", op.service.name)
    out.require_whole("slots", op.service.slots, 1, MAX_SLOTS)
    out.require_whole("connections", op.service.connections, 1, MAX_CONNECTIONS)


@VALIDATORS.register("DeleteService")
def _delete_service(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    out.require_known("name", op.name, state.services)
    users = [c.name for c in state.contracts.values() if op.name in c.services]
    _refuse_use(users, out)


def _refuse_use(users: list[str], out: FindingCollector) -> None:
    if users:
        names = ", ".join(sorted(users)[:5])
        out.add("name", "in_use", f"used by {len(users)} contracts, such as {names}")


@VALIDATORS.register("PutDataCentre")
def _put_data_centre(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    out = out.at("data_centre")
    out.require_name("name", op.data_centre.name)
    out.require_name("region", op.data_centre.region)
    old = state.data_centres.get(op.data_centre.name)
    if old is not None and old.region != op.data_centre.region:
        # Moving it would let requests be served outside their home regions.
        out.add("region", "region_fixed", f"must stay {old.region!r}")


@VALIDATORS.register("SetDataCentreState")
def _set_data_centre_state(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    out.require_known("name", op.name, state.data_centres)


@VALIDATORS.register("SetHostState")
def _set_host_state(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    _check_text(out, "name", op.name)


@VALIDATORS.register("ReleaseHold")
def _release_hold(state: ConfigDraft, op: Any, out: FindingCollector) -> None:
    _check_text(out, "hold_id", op.hold_id)
