"""The settings file that the platform writes for each process."""

import json
from pathlib import Path

from ..desired import Bounds, HostFacts, HostLimits
from ..errors import Finding, FindingsError, SourceLocation
from ._fields import Fields, parse_address


def read_host_file(path: Path) -> HostFacts:
    """Read and check the settings file.

    Raises:
        FindingsError: All faults of the file.
        OSError: The file cannot be read.
    """
    source = path.name
    try:
        document = json.loads(path.read_bytes())
    except ValueError as exc:
        raise FindingsError(
            [Finding(SourceLocation(source, ""), "syntax", str(exc))]
        ) from exc
    return decode_host_file(document, source)


def decode_host_file(document: object, source: str) -> HostFacts:
    """Decode the settings; fields that are not known are ignored.

    Raises:
        FindingsError: All faults of the document.
    """
    top = Fields(source, document)
    listen = top.table("listen")
    facts = HostFacts(
        name=top.text("node"),
        address=top.text("ip"),
        data_centre=top.text("zone"),
        region=top.text("region"),
        regions=_decode_regions(top.table("zones")),
        callers=listen.address("front"),
        ready=listen.address("ready"),
        control=listen.address("control") if listen.has("control") else None,
        peer_ports=_decode_ports(top),
        seeds=_decode_seeds(top),
        is_first_start=top.raw("bootstrap") is True,
        store=top.table("platform").address("address"),
        heartbeat_s=top.duration("heartbeat", 1.5),
        limits=_decode_limits(top.table("limits")),
        bounds=_decode_bounds(top.table("bounds")),
    )
    top.raise_findings()
    return facts


def _decode_regions(zones: Fields) -> dict[str, str]:
    return {name: zones.text(name) for name, _ in zones.items()}


def _decode_ports(top: Fields) -> tuple[int, int]:
    ports = top.raw("portRange")
    if isinstance(ports, list) and len(ports) == 2:
        first, last = ports
        if type(first) is int and type(last) is int and 0 < first <= last:
            return first, last
    top.fault("portRange", f"{ports!r} is no pair of ports")
    return 0, 0


def _decode_seeds(top: Fields) -> list[tuple[str, int]]:
    seeds = []
    for item in top.raw("seeds") or ():
        try:
            seeds.append(parse_address(item))
        except ValueError as exc:
            top.fault("seeds", str(exc))
    return seeds


def _decode_limits(limits: Fields) -> HostLimits:
    return HostLimits(
        limits.number("cpuShare"), limits.whole("memoryMb"), limits.whole("maxFds")
    )


def _decode_bounds(bounds: Fields) -> Bounds:
    return Bounds(
        drain_s=bounds.duration("drain"),
        stop_grace_s=bounds.duration("grace"),
        config_apply_s=bounds.duration("configApply"),
        address_reuse_s=bounds.duration("reuseAfter"),
        retry_ratio=bounds.number("retryBudgetRatio"),
        retry_window_s=bounds.duration("retryWindow"),
        retry_reserve=bounds.number("retryBudgetSlack"),
        cold_rate_factor=bounds.number("warmupOverage"),
        cold_burst=bounds.number("warmupSlack"),
    )
