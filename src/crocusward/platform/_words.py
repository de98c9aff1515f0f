"""Names on the wire of the users' platform. Nothing outside this package knows them."""

# Tables of the store. "servers" holds backend servers, "op" what operators want.
TABLE_BACKENDS = "servers"
TABLE_OPERATOR = "op"
TABLE_HOSTS = "crocusward-hosts"
REPLICATED_TABLES = (TABLE_OPERATOR, TABLE_BACKENDS)

KEY_DESIRED_STATE = "config"
KEY_OUT_PREFIX = "evacuate/"

# Headers, in lower case.
REQUEST_ID_HEADER = b"crocusward-request-id"
# Milliseconds that the sender goes on waiting, not a point in time.
DEADLINE_MS_HEADER = b"crocusward-deadline-ms"
EXPECTED_BACKEND_HEADER = b"crocusward-expected-instance"
BACKEND_ID_HEADER = b"crocusward-instance-id"
# Opaque proof that a body is whole.
BODY_DIGEST_HEADER = b"crocusward-response-signature"
NOT_RUN = b"crocusward-not-executed"
BACKEND_LOAD_HEADER = b"crocusward-server-load"
COLD_LEFT_MS_HEADER = b"crocusward-warmup-remaining-ms"

BOOT_SETTINGS_VARIABLE = "CROCUSWARD_BOOT"
READY_PATH = "/ready"
