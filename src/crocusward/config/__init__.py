"""The versioned configuration: change log, replicas and commits."""

from ._change import (
    Change,
    ChangeDraft,
    DeleteContract,
    DeleteCustomer,
    DeleteService,
    Operation,
    PutContract,
    PutCustomer,
    PutDataCentre,
    PutService,
    ReleaseHold,
    SetDataCentreState,
    SetHostState,
)
from ._freshness import FreshnessTracker, ServingMode
from ._holds import Holds
from ._interface import ChangeReceipt, ConfigService, InForceReport
from ._log import AppendResult, ChangeLog
from ._manager import ConfigManager
from ._operations import decode_operation, encode_operation
from ._replica import Replica
from ._row import (
    ChangeRow,
    Snapshot,
    apply_change,
    decode_row,
    decode_snapshot,
    encode_row,
    encode_snapshot,
)
from ._validate import validate_draft

__all__ = [
    "AppendResult",
    "Change",
    "ChangeDraft",
    "ChangeLog",
    "ChangeReceipt",
    "ChangeRow",
    "ConfigManager",
    "ConfigService",
    "FreshnessTracker",
    "DeleteContract",
    "DeleteCustomer",
    "DeleteService",
    "Holds",
    "InForceReport",
    "Operation",
    "PutContract",
    "PutCustomer",
    "PutDataCentre",
    "PutService",
    "ReleaseHold",
    "Replica",
    "ServingMode",
    "SetDataCentreState",
    "SetHostState",
    "Snapshot",
    "apply_change",
    "decode_operation",
    "decode_row",
    "decode_snapshot",
    "encode_operation",
    "encode_row",
    "encode_snapshot",
    "validate_draft",
]
