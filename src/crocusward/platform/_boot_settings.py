"""Decodes the boot settings, a JSON file that the platform writes per process."""

import json
from pathlib import Path

from ..desired import FleetBounds, HostFacts, HostLimits
from ..errors import Finding, FindingsError, SourceLocation
from ._fields import FieldReader, parse_address


def read_boot_settings(path: Path) -> HostFacts:
    """Read and check a file of boot settings.

    Raises:
        FindingsError: The file is invalid; lists all findings.
        OSError: The file cannot be read.
    """
    source = path.name
    try:
        document = json.loads(path.read_bytes())
    except ValueError as exc:
        raise FindingsError(
            [Finding(SourceLocation(source, ""), "syntax", str(exc))]
        ) from exc
    return decode_boot_settings(document, source)


def decode_boot_settings(document: object, source: str) -> HostFacts:
    """Decode boot settings; unknown fields are ignored.

    Args:
        document: Decoded JSON.
        source: Name of the document, for findings.

    Raises:
        FindingsError: The document is invalid; lists all findings.
    """
    root = FieldReader(source, document)
    listen = root.get_object("listen")
    facts = HostFacts(
        name=root.get_text("node"),
        address=root.get_text("ip"),
        data_centre=root.get_text("zone"),
        region=root.get_text("region"),
        regions=_decode_regions(root.get_object("zones")),
        callers=listen.get_address("front"),
        ready=listen.get_address("ready"),
        control=listen.get_address("control") if listen.has_value("control") else None,
        peer_ports=_decode_ports(root),
        seeds=_decode_seeds(root),
        is_first_start=root.get_value("bootstrap") is True,
        store=root.get_object("platform").get_address("address"),
        heartbeat_s=root.get_duration("heartbeat", 1.5),
        limits=_decode_limits(root.get_object("limits")),
        bounds=_decode_bounds(root.get_object("bounds")),
    )
    root.raise_findings()
    return facts


def _decode_regions(zones: FieldReader) -> dict[str, str]:
    return {name: zones.get_text(name) for name, _ in zones.items()}


def _decode_ports(root: FieldReader) -> tuple[int, int]:
    ports = root.get_value("portRange")
    if isinstance(ports, list) and len(ports) == 2:
        first, last = ports
        if type(first) is int and type(last) is int and 0 < first <= last:
            return first, last
    root.add_finding("portRange", f"{ports!r} is not a first and a last port")
    return 0, 0


def _decode_seeds(root: FieldReader) -> list[tuple[str, int]]:
    seeds = []
    for item in root.get_value("seeds") or ():
        try:
            seeds.append(parse_address(item))
        except ValueError as exc:
            root.add_finding("seeds", str(exc))
    return seeds


def _decode_limits(limits: FieldReader) -> HostLimits:
    return HostLimits(
        limits.get_number("cpuShare"),
        limits.get_integer("memoryMb"),
        limits.get_integer("maxFds"),
    )


def _decode_bounds(bounds: FieldReader) -> FleetBounds:
    return FleetBounds(
        drain_s=bounds.get_duration("drain"),
        stop_grace_s=bounds.get_duration("grace"),
        config_apply_s=bounds.get_duration("configApply"),
        address_reuse_s=bounds.get_duration("reuseAfter"),
        retry_ratio=bounds.get_number("retryBudgetRatio"),
        retry_window_s=bounds.get_duration("retryWindow"),
        retry_reserve=bounds.get_number("retryBudgetSlack"),
        cold_rate_factor=bounds.get_number("warmupOverage"),
        cold_burst=bounds.get_number("warmupSlack"),
    )
