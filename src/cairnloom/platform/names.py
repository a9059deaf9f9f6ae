"""Headers of the platform, and what each of them holds."""

# Names the request itself: each attempt of a caller has a new one.
REQUEST_ID = b'Attempt-Id'
# Milliseconds that the caller still waits, or that an endpoint may take.
DEADLINE = b'Deadline-Ms'
# The parts of the prompt with their tokens; the last belongs to the session.
PROMPT_PARTS = b'Prompt-Prefix'
# Tokens of the prompt and the most that may be generated.
TOKENS = b'Token-Count'
MODEL = b'Model'
LENGTH_HINT = b'Length-Hint'
LAST_EVENT = b'Last-Event-Id'
# Proves that an answer is an endpoint's.
SIGNATURE = b'Server-Signature'
TEAM = b'Tenant'
EXPECTED_INSTANCE = b'Expect-Instance'
INSTANCE = b'Instance-Id'
# Running requests, waiting requests and slots.
LOAD = b'Server-Load'
NOT_RUN = b'Not-Executed'
RETRY_AFTER = b'Retry-After'
HOLDER = b'Lease-Holder'
FENCE = b'Fencing-Token'
PRIORITY = b'Request-Priority'
ROLE = b'Serving-Stage'
# Where the KV cache of the prompt lies: address and handle.
CACHE_SOURCE = b'Kv-Source'
# An address to fetch missing parts of the prompt's KV cache from.
CACHE_NEIGHBOUR = b'Kv-Fetch'
CACHE_BACKUP = b'Kv-Backup'
EXPECTED_WEIGHTS = b'Expect-Version'
PIN = b'Pin-Ms'
RESERVATION = b'Kv-Hold'
AUTHORIZATION = b'Authorization'
KEEP_ALIVE = b'Keep-Alive'

# What only the system sets; a caller's own values are dropped.
OWN = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        TEAM,
        EXPECTED_INSTANCE,
        PRIORITY,
        ROLE,
        CACHE_SOURCE,
        CACHE_NEIGHBOUR,
        CACHE_BACKUP,
        EXPECTED_WEIGHTS,
        PIN,
        RESERVATION,
        AUTHORIZATION,
        HOLDER,
        FENCE,
    )
)

# What concerns one connection alone.
HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
