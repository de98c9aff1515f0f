"""Converts contracts, customers, services and data centres to and from tables."""

from ..model import (
    Contract,
    ContractLimits,
    Customer,
    DataCentre,
    HomeRegions,
    Route,
    Service,
    ServiceLevel,
    ServiceState,
)
from ._section import Section

Table = dict[str, object]

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"
NAME_DESCRIPTION = "a name of lower-case letters, digits and hyphens"
DIGEST_PATTERN = r"[0-9a-f]{64}|"
METHOD_PATTERN = r"[A-Z]{1,16}|\*"
PREFIX_PATTERN = r"/[^\s?#]*"
MAX_RATE_PER_S = 1_000_000.0  # the fleet is sized for 180,000 requests/s
MAX_BODY_BYTES = 2_097_152  # a request must fit in one frame to the holder of its key
MAX_ANSWER_BYTES = 67_108_864
MAX_DEADLINE_S = 120.0  # upper bound of the latency histograms
MAX_CONNECTIONS = 100_000
MAX_SLOTS = 1024

DEFAULT_LIMITS = ContractLimits()
DEFAULT_LEVEL = ServiceLevel()


def read_name(section: Section, key: str = "name") -> str:
    """Read a required field that holds a name."""
    return section.text(key, pattern=NAME_PATTERN, expected=NAME_DESCRIPTION)


def decode_contract(section: Section) -> Contract:
    """Decode a contract; faults are added to the findings of the section."""
    services = section.texts("services")
    contract = Contract(
        read_name(section),
        read_name(section, "customer"),
        frozenset(services),
        limits=_decode_limits(section.section("limits")),
        home=_decode_home(section.section("home")),
        routes=tuple(_decode_route(item) for item in section.sections("routes")),
        level=_decode_level(section.section("level")),
        caller_key_sha256=section.text(
            "caller_key_sha256",
            "",
            pattern=DIGEST_PATTERN,
            expected="a SHA-256 digest of 64 lower-case hex digits",
            hidden=True,
        ),
        weight=section.number("weight", 1.0, low=0.01, high=1000),
    )
    if section.has("services") and not services:
        section.add("services", "value", "must name at least one service")
    _check_routes(contract, section)
    section.finish()
    return contract


def encode_contract(contract: Contract) -> Table:
    """Encode a contract as a table."""
    return {
        "name": contract.name,
        "customer": contract.customer,
        "services": sorted(contract.services),
        "weight": contract.weight,
        "caller_key_sha256": contract.caller_key_sha256,
        "limits": {
            name: getattr(contract.limits, name) for name in ContractLimits.__slots__
        },
        "home": {
            "serve": sorted(contract.home.serve),
            "keep": sorted(contract.home.keep),
        },
        "level": {
            name: getattr(contract.level, name) for name in ServiceLevel.__slots__
        },
        "routes": [_encode_route(route) for route in contract.routes],
    }


def decode_customer(section: Section) -> Customer:
    """Decode a customer."""
    customer = Customer(read_name(section), read_name(section, "team"))
    section.finish()
    return customer


def encode_customer(customer: Customer) -> Table:
    """Encode a customer as a table."""
    return {"name": customer.name, "team": customer.team}


def decode_service(section: Section) -> Service:
    """Decode a service."""
    service = Service(
        read_name(section),
        slots=section.integer("slots", 2, low=1, high=MAX_SLOTS, unit="requests"),
        connections=section.integer(
            "connections", 220, low=1, high=MAX_CONNECTIONS, unit="connections"
        ),
    )
    section.finish()
    return service


def encode_service(service: Service) -> Table:
    """Encode a service as a table."""
    return {
        "name": service.name,
        "slots": service.slots,
        "connections": service.connections,
    }


def decode_data_centre(section: Section) -> DataCentre:
    """Decode a data centre."""
    data_centre = DataCentre(
        read_name(section), read_name(section, "region"), decode_state(section, "in")
    )
    section.finish()
    return data_centre


def encode_data_centre(data_centre: DataCentre) -> Table:
    """Encode a data centre as a table."""
    return {
        "name": data_centre.name,
        "region": data_centre.region,
        "state": data_centre.state.value,
    }


def decode_state(section: Section, default: str | None = None) -> ServiceState:
    """Decode the field ``state``; an invalid value yields ``ServiceState.IN``."""
    known = [item.value for item in ServiceState]
    value = section.text("state", default, choices=known)
    return ServiceState(value) if value in known else ServiceState.IN


def _decode_limits(section: Section) -> ContractLimits:
    base = DEFAULT_LIMITS
    limits = ContractLimits(
        rate=section.number(
            "rate", base.rate, low=0.01, high=MAX_RATE_PER_S, unit="requests/s"
        ),
        burst=section.number(
            "burst", base.burst, low=1, high=MAX_RATE_PER_S, unit="requests"
        ),
        in_flight=section.integer(
            "in_flight", base.in_flight, low=1, high=1_000_000, unit="requests"
        ),
        body_bytes=section.integer(
            "body_bytes",
            min(base.body_bytes, MAX_BODY_BYTES),
            low=0,
            high=MAX_BODY_BYTES,
            unit="bytes",
        ),
        answer_bytes=section.integer(
            "answer_bytes",
            base.answer_bytes,
            low=1,
            high=MAX_ANSWER_BYTES,
            unit="bytes",
        ),
        deadline_s=section.number(
            "deadline_s", base.deadline_s, low=0.01, high=MAX_DEADLINE_S, unit="s"
        ),
    )
    section.finish()
    return limits


def _decode_home(section: Section) -> HomeRegions:
    home = HomeRegions(
        frozenset(section.texts("serve", ())), frozenset(section.texts("keep", ()))
    )
    section.finish()
    return home


def _decode_level(section: Section) -> ServiceLevel:
    base = DEFAULT_LEVEL
    level = ServiceLevel(
        availability=section.number("availability", base.availability, low=0, high=1),
        latency_s=section.number(
            "latency_s", base.latency_s, low=0.0001, high=MAX_DEADLINE_S, unit="s"
        ),
        latency_share=section.number(
            "latency_share", base.latency_share, low=0, high=1
        ),
    )
    section.finish()
    return level


def _decode_route(section: Section) -> Route:
    route = Route(
        read_name(section, "service"),
        section.text(
            "method", "*", pattern=METHOD_PATTERN, expected="an HTTP method or *"
        ),
        section.text(
            "prefix", "/", pattern=PREFIX_PATTERN, expected="the start of a path"
        ),
        section.boolean("idempotent"),
        frozenset(section.texts("serve_regions", ())),
    )
    section.finish()
    return route


def _encode_route(route: Route) -> Table:
    return {
        "service": route.service,
        "method": route.method,
        "prefix": route.prefix,
        "idempotent": route.idempotent,
        "serve_regions": sorted(route.serve_regions),
    }


def _check_routes(contract: Contract, section: Section) -> None:
    for index, route in enumerate(contract.routes):
        path = f"routes[{index}]"
        if route.service not in contract.services:
            message = f"{route.service!r} is not a service of this contract"
            section.add(f"{path}.service", "unknown_name", message)
        outside = route.serve_regions - contract.home.serve
        if contract.home.serve and outside:
            message = f"{', '.join(sorted(outside))} is outside the home regions"
            section.add(f"{path}.serve_regions", "value", message)
        for number, earlier in enumerate(contract.routes[:index]):
            if _shadows(earlier, route):
                message = f"never used: routes[{number}] matches first"
                section.add(path, "value", message)
                break


def _shadows(earlier: Route, later: Route) -> bool:
    return (
        earlier.service == later.service
        and earlier.method in ("*", later.method)
        and later.prefix.startswith(earlier.prefix)
    )
