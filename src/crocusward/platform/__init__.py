"""Platform services: interfaces, HTTP clients, wire names and document formats."""

from ._boot_settings import decode_boot_settings, read_boot_settings
from ._changes import apply_row_change, decode_daemon, encode_daemon
from ._clients import (
    HOST_LISTS,
    OBJECT_STORES,
    TABLE_SERVICES,
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
)
from ._documents import decode_backend, decode_desired_state
from ._fields import parse_rate_limit
from ._http import Backoff, HttpAnswer, HttpClient, PlatformClient, PlatformEndpoint
from ._interfaces import (
    ABSENT_REVISION,
    ANY_REVISION,
    HostList,
    ObjectStore,
    Row,
    TableService,
    Write,
)
from ._rows import HistoryLostError, RowClient
from ._wire_names import (
    BACKEND_ID_HEADER,
    BACKEND_LOAD_HEADER,
    BODY_DIGEST_HEADER,
    BOOT_SETTINGS_VARIABLE,
    COLD_LEFT_MS_HEADER,
    DEADLINE_MS_HEADER,
    EXPECTED_BACKEND_HEADER,
    NOT_RUN,
    RATE_LIMIT_HEADER,
    READY_PATH,
    REPLICATED_TABLES,
    REQUEST_ID_HEADER,
    TABLE_BACKENDS,
    TABLE_HOSTS,
    TABLE_OPERATOR,
)

__all__ = [
    "BACKEND_ID_HEADER",
    "BACKEND_LOAD_HEADER",
    "BODY_DIGEST_HEADER",
    "COLD_LEFT_MS_HEADER",
    "EXPECTED_BACKEND_HEADER",
    "NOT_RUN",
    "RATE_LIMIT_HEADER",
    "READY_PATH",
    "REQUEST_ID_HEADER",
    "BOOT_SETTINGS_VARIABLE",
    "TABLE_BACKENDS",
    "TABLE_HOSTS",
    "TABLE_OPERATOR",
    "REPLICATED_TABLES",
    "DEADLINE_MS_HEADER",
    "apply_row_change",
    "decode_daemon",
    "encode_daemon",
    "ABSENT_REVISION",
    "ANY_REVISION",
    "HOST_LISTS",
    "OBJECT_STORES",
    "TABLE_SERVICES",
    "Backoff",
    "HistoryLostError",
    "HostList",
    "HttpAnswer",
    "HttpClient",
    "HttpHostList",
    "HttpObjectStore",
    "HttpTableService",
    "ObjectStore",
    "PlatformClient",
    "Row",
    "RowClient",
    "PlatformEndpoint",
    "TableService",
    "Write",
    "decode_backend",
    "decode_desired_state",
    "decode_boot_settings",
    "parse_rate_limit",
    "read_boot_settings",
]
