"""Defines the header names of the platform's protocol, in lower case."""

REQUEST_ID = b'request-id'
TIME_BUDGET = b'deadline-ms'
MODEL = b'model'
TOKEN_COUNT = b'token-count'
PROMPT_PARTS = b'prompt-prefix'
OUTPUT_ESTIMATE = b'length-hint'
RESUME_AFTER = b'last-event-id'
# Request of the caller that brought the first event of a resumed stream.
RESUMED_REQUEST = b'resumes'

# API key of the caller; never forwarded.
API_KEY = b'credential'
# Name of the account that sent a request; set by ivystep only.
ACCOUNT = b'tenant'

EXPECTED_UPSTREAM = b'expect-instance'
EXPECTED_VERSION = b'expect-version'
URGENCY = b'request-urgency'

UPSTREAM_ID = b'instance-id'
NOT_RUN = b'not-executed'
RESPONSE_SEAL = b'response-seal'
# Requests per second that an upstream takes from all hosts together.
RATE_LIMIT = b'server-limit'
# Stated in all answers of an upstream that leaves.
LEAVING = b'server-leaving'
# Seconds for which an upstream that answers 503 wants no requests of this host.
RETRY_AFTER = b'retry-after'

# Set by ivystep or an upstream only; not forwarded from callers.
RESERVED = frozenset(
    (
        API_KEY,
        ACCOUNT,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        URGENCY,
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-fetch',
        b'kv-from',
        b'wait-ms',
        UPSTREAM_ID,
        NOT_RUN,
        RESPONSE_SEAL,
    )
)

# Apply to a single connection and are never forwarded.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

# Always forwarded: a caller cannot remove them by listing them in its
# ``Connection`` header.
END_TO_END = frozenset(
    (
        b'host',
        REQUEST_ID,
        TIME_BUDGET,
        MODEL,
        TOKEN_COUNT,
        PROMPT_PARTS,
        OUTPUT_ESTIMATE,
        RESUME_AFTER,
        RESUMED_REQUEST,
    )
)
