"""Stand-ins for the platform's services, backend servers and the regions' link."""

from ._backend import BackendStandin
from ._backend_model import BackendBehaviour, Execution, ExecutionLog
from ._fleet import BackendFleet
from ._hostlist import HostListStandin
from ._link import LinkDirection, LinkRelay
from ._objects import ObjectsStandin
from ._rows import RowsStandin
from ._table import TableStandin

__all__ = [
    "BackendBehaviour",
    "BackendFleet",
    "BackendStandin",
    "Execution",
    "ExecutionLog",
    "HostListStandin",
    "LinkDirection",
    "LinkRelay",
    "ObjectsStandin",
    "RowsStandin",
    "TableStandin",
]
