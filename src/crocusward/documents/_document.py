"""Documents that define contracts, customers, services and data centres."""

import json
from collections.abc import Callable, Mapping
from typing import TypeVar

from ..errors import Finding, FindingsError, SourceLocation
from ..model import Contract, Customer, DataCentre, Record, Service
from ._codec import (
    Table,
    decode_contract,
    decode_customer,
    decode_data_centre,
    decode_service,
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
)
from ._lines import LineIndex, parse_toml
from ._section import FindingList, Section

T = TypeVar("T", Contract, Customer, DataCentre, Service)


class ContractDocument(Record):
    """Contents of a configuration document.

    Attributes:
        contracts: Contracts, in document order.
        customers: Customers, in document order.
        services: Services, in document order.
        data_centres: Data centres, in document order.
    """

    __slots__ = ("contracts", "customers", "services", "data_centres")

    def __init__(
        self,
        *,
        contracts: tuple[Contract, ...] = (),
        customers: tuple[Customer, ...] = (),
        services: tuple[Service, ...] = (),
        data_centres: tuple[DataCentre, ...] = (),
    ) -> None:
        self.contracts = contracts
        self.customers = customers
        self.services = services
        self.data_centres = data_centres

    @classmethod
    def parse(cls, text: str, source: str) -> "ContractDocument":
        """Parse TOML, or JSON if the source name ends in ``.json``.

        Raises:
            FindingsError: The document is invalid; holds every finding.
        """
        if source.endswith(".json"):
            return cls.from_table(_parse_json(text, source), FindingList(source))
        findings = FindingList(source, LineIndex(text))
        return cls.from_table(parse_toml(text, source), findings)

    @classmethod
    def from_table(
        cls, table: Mapping[str, object], findings: FindingList
    ) -> "ContractDocument":
        """Decode a parsed document.

        Raises:
            FindingsError: The document is invalid; holds every finding.
        """
        root = Section(table, findings)
        document = cls(
            contracts=_decode_all(root, "contracts", decode_contract),
            customers=_decode_all(root, "customers", decode_customer),
            services=_decode_all(root, "services", decode_service),
            data_centres=_decode_all(root, "data_centres", decode_data_centre),
        )
        root.finish()
        findings.raise_if_any()
        return document

    def to_table(self) -> Table:
        """Return the document as a table."""
        return {
            "data_centres": [encode_data_centre(item) for item in self.data_centres],
            "services": [encode_service(item) for item in self.services],
            "customers": [encode_customer(item) for item in self.customers],
            "contracts": [encode_contract(item) for item in self.contracts],
        }

    def to_json(self) -> str:
        """Return the document as JSON."""
        return json.dumps(self.to_table(), indent=2, ensure_ascii=False)

    def to_toml(self) -> str:
        """Return the document as TOML."""
        blocks: list[str] = []
        for name, items in self.to_table().items():
            assert isinstance(items, list)
            for item in items:
                blocks += _render_toml_table(item, name, is_item=True)
        return "\n\n".join(blocks) + "\n"


def _decode_all(
    root: Section, key: str, decode: Callable[[Section], T]
) -> tuple[T, ...]:
    found = []
    names = set()
    for section in root.sections(key):
        item = decode(section)
        if item.name and item.name in names:
            section.add("name", "value", f"{item.name!r} occurs twice")
        names.add(item.name)
        found.append(item)
    return tuple(found)


def _parse_json(text: str, source: str) -> Mapping[str, object]:
    try:
        table = json.loads(text)
    except (json.JSONDecodeError, RecursionError) as exc:
        location = SourceLocation(source, "", getattr(exc, "lineno", 0))
        raise FindingsError([Finding(location, "syntax", str(exc))]) from None
    if not isinstance(table, dict):
        raise FindingsError(
            [Finding(SourceLocation(source, ""), "type", "must be an object")]
        )
    return table


def _render_toml_table(table: Table, path: str, *, is_item: bool) -> list[str]:
    lines = [f"[[{path}]]" if is_item else f"[{path}]"]
    blocks: list[str] = []
    for key, value in table.items():
        if isinstance(value, dict):
            blocks += _render_toml_table(value, f"{path}.{key}", is_item=False)
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for item in value:
                blocks += _render_toml_table(item, f"{path}.{key}", is_item=True)
        else:
            # A JSON string, number, boolean or flat list is also valid TOML.
            lines.append(f"{key} = {json.dumps(value, ensure_ascii=False)}")
    return ["\n".join(lines), *blocks]
