"""Array encoding of the model's records."""

from typing import Any

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
from ._fields import ArrayReader, malformed


def encode_contract(contract: Contract) -> list[Any]:
    """Return the array of a contract."""
    return [
        contract.name,
        contract.customer,
        sorted(contract.services),
        _encode_limits(contract.limits),
        [sorted(contract.home.serve), sorted(contract.home.keep)],
        [_encode_route(route) for route in contract.routes],
        _encode_level(contract.level),
        _encode_hex(contract.caller_key_sha256),
        float(contract.weight),
    ]


def decode_contract(value: object) -> Contract:
    """Return the contract of an array.

    Raises:
        CrocusError: Code ``malformed_document``.
    """
    fields = ArrayReader(value, "contract", 9)
    return Contract(
        fields.text("name"),
        fields.text("customer"),
        frozenset(fields.texts("services")),
        limits=_decode_limits(fields.array("limits")),
        home=_decode_home(fields.array("home")),
        routes=tuple(_decode_route(item) for item in fields.array("routes")),
        level=_decode_level(fields.array("level")),
        caller_key_sha256=fields.data("caller_key_sha256").hex(),
        weight=fields.number("weight"),
    )


def _encode_hex(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise malformed("contract.caller_key_sha256 is not hexadecimal") from None


def _encode_limits(limits: ContractLimits) -> list[Any]:
    return [
        float(limits.rate),
        float(limits.burst),
        limits.in_flight,
        limits.body_bytes,
        limits.answer_bytes,
        float(limits.deadline_s),
    ]


def _decode_limits(value: object) -> ContractLimits:
    fields = ArrayReader(value, "limits", 6)
    return ContractLimits(
        rate=fields.number("rate"),
        burst=fields.number("burst"),
        in_flight=fields.integer("in_flight"),
        body_bytes=fields.integer("body_bytes"),
        answer_bytes=fields.integer("answer_bytes"),
        deadline_s=fields.number("deadline_s"),
    )


def _decode_home(value: object) -> HomeRegions:
    fields = ArrayReader(value, "home", 2)
    serve = frozenset(fields.texts("serve"))
    return HomeRegions(serve, frozenset(fields.texts("keep")))


def _encode_route(route: Route) -> list[Any]:
    return [
        route.service,
        route.method,
        route.prefix,
        route.idempotent,
        sorted(route.serve_regions),
    ]


def _decode_route(value: object) -> Route:
    fields = ArrayReader(value, "route", 5)
    return Route(
        fields.text("service"),
        fields.text("method"),
        fields.text("prefix"),
        fields.flag("idempotent"),
        frozenset(fields.texts("serve_regions")),
    )


def _encode_level(level: ServiceLevel) -> list[Any]:
    return [
        float(level.availability),
        float(level.latency_s),
        float(level.latency_share),
    ]


def _decode_level(value: object) -> ServiceLevel:
    fields = ArrayReader(value, "level", 3)
    return ServiceLevel(
        availability=fields.number("availability"),
        latency_s=fields.number("latency_s"),
        latency_share=fields.number("latency_share"),
    )


def encode_customer(customer: Customer) -> list[Any]:
    """Return the array of a customer."""
    return [customer.name, customer.team]


def decode_customer(value: object) -> Customer:
    """Return the customer of an array."""
    fields = ArrayReader(value, "customer", 2)
    return Customer(fields.text("name"), fields.text("team"))


def encode_service(service: Service) -> list[Any]:
    """Return the array of a service."""
    return [service.name, service.slots, service.connections]


def decode_service(value: object) -> Service:
    """Return the service of an array."""
    fields = ArrayReader(value, "service", 3)
    return Service(
        fields.text("name"),
        slots=fields.integer("slots"),
        connections=fields.integer("connections"),
    )


def encode_data_centre(data_centre: DataCentre) -> list[Any]:
    """Return the array of a data centre."""
    return [data_centre.name, data_centre.region, encode_state(data_centre.state)]


def decode_data_centre(value: object) -> DataCentre:
    """Return the data centre of an array."""
    fields = ArrayReader(value, "data_centre", 3)
    return DataCentre(
        fields.text("name"), fields.text("region"), decode_state(fields.flag("in"))
    )


def encode_state(state: ServiceState) -> bool:
    """Return True for a state that takes new work."""
    return state is ServiceState.IN


def decode_state(takes_work: bool) -> ServiceState:
    """Return the state for a flag made by ``encode_state``."""
    return ServiceState.IN if takes_work else ServiceState.OUT
