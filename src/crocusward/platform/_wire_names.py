"""Wire names of the platform; only this package spells them out."""

# Tables of the store. "op" holds the desired state and the evacuated data centres.
TABLE_BACKENDS = "servers"
TABLE_OPERATOR = "op"
TABLE_HOSTS = "crocusward-hosts"
REPLICATED_TABLES = (TABLE_OPERATOR, TABLE_BACKENDS)

# Rows of TABLE_HOSTS that are about blocked requests, not hosts; both are read at once.
KEY_CRASH_PREFIX = "crash/"

KEY_DESIRED_STATE = "config"
KEY_EVACUATED_PREFIX = "evacuate/"

# Headers, in lower case.
REQUEST_ID_HEADER = b"crocusward-request-id"
# Milliseconds that the sender will still wait; not a point in time.
DEADLINE_MS_HEADER = b"crocusward-deadline-ms"
EXPECTED_BACKEND_HEADER = b"crocusward-expected-instance"
BACKEND_ID_HEADER = b"crocusward-instance-id"
# Opaque digest that shows that a body is complete.
BODY_DIGEST_HEADER = b"crocusward-response-signature"
NOT_RUN = b"crocusward-not-executed"
BACKEND_LOAD_HEADER = b"crocusward-server-load"
COLD_LEFT_MS_HEADER = b"crocusward-warmup-remaining-ms"
# Requests per second that a server takes from all hosts together, a decimal number.
RATE_LIMIT_HEADER = b"server-limit"
# "1" in any answer of a server that leaves.
LEAVING_HEADER = b"server-leaving"
# Number of the store's history; rises when the store comes back from an older copy.
STORE_ERA_HEADER = b"store-era"

BOOT_SETTINGS_VARIABLE = "CROCUSWARD_BOOT"
READY_PATH = "/ready"
