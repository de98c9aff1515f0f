"""Parsing, validation and rendering of TOML and JSON configuration documents."""

from ._codec import (
    Table,
    decode_contract,
    decode_customer,
    decode_data_centre,
    decode_service,
    decode_state,
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
    read_name,
)
from ._difference import Difference, find_differences
from ._document import ContractDocument
from ._feasible import ServiceCapacity, check_contract
from ._lines import LineIndex, parse_toml
from ._section import FindingList, Section

__all__ = [
    "ContractDocument",
    "Difference",
    "FindingList",
    "LineIndex",
    "Section",
    "ServiceCapacity",
    "Table",
    "check_contract",
    "decode_contract",
    "decode_customer",
    "decode_data_centre",
    "decode_service",
    "decode_state",
    "encode_contract",
    "encode_customer",
    "encode_data_centre",
    "encode_service",
    "find_differences",
    "parse_toml",
    "read_name",
]
