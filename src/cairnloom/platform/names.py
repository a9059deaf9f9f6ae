"""Names of the headers that the platform defines, and what they hold."""

# Identifies one request of a caller. A caller that retries sends a new id.
REQUEST_ID = b'Attempt-Id'
# In a caller's request, the milliseconds that the caller will still wait. In
# an attempt, the milliseconds that the endpoint may take.
DEADLINE = b'Deadline-Ms'
# The parts of the prompt in order, each as NAME:TOKENS. Only requests of the
# same session share the last part.
PROMPT_PARTS = b'Prompt-Prefix'
# The number of tokens of the prompt and the largest number of tokens that may
# be generated, as PROMPT,OUTPUT.
TOKENS = b'Token-Count'
MODEL = b'Model'
LENGTH_HINT = b'Length-Hint'
# The number of the last event of a stream that the caller has received.
LAST_EVENT = b'Last-Event-Id'
# In a caller's request that goes on with a stream, the id of the request that
# brought the stream's first event.
RESUMED = b'Resumes'
# Its presence shows that the answer comes from an endpoint itself.
SIGNATURE = b'Server-Signature'
# The platform's word for a team.
TEAM = b'Tenant'
# The name of the endpoint's incarnation that the request is meant for.
EXPECTED_INSTANCE = b'Expect-Instance'
INSTANCE = b'Instance-Id'
# The numbers of an endpoint's running requests, waiting requests and slots.
LOAD = b'Server-Load'
# Its presence shows that the endpoint did not run the request, which may
# therefore be repeated.
NOT_RUN = b'Not-Executed'
RETRY_AFTER = b'Retry-After'
# Is 1 if the endpoint is about to shut down, else 0 or absent.
LEAVING = b'Server-Leaving'
# In answers of the store: rises by one each time that it returns from a copy.
ERA = b'Store-Era'
HOLDER = b'Lease-Holder'
FENCE = b'Fencing-Token'
PRIORITY = b'Request-Priority'
# The role in which an engine is to serve the attempt.
ROLE = b'Serving-Stage'
# The address and the handle from which a decode fetches the prompt's KV
# cache.
CACHE_SOURCE = b'Kv-Source'
# The address of an engine from which missing parts of the prompt's KV cache
# can be fetched.
CACHE_NEIGHBOUR = b'Kv-Fetch'
# The entry host sends none of the next four headers, and drops those that
# callers send.
CACHE_BACKUP = b'Kv-Backup'
# The version of the model's weights, not of a row.
EXPECTED_WEIGHTS = b'Expect-Version'
PIN = b'Pin-Ms'
RESERVATION = b'Kv-Hold'
# Requests per second that an endpoint takes from all hosts together.
RATE_LIMIT = b'Server-Limit'
AUTHORIZATION = b'Authorization'
KEEP_ALIVE = b'Keep-Alive'

# Headers of a caller that no endpoint gets: only the entry host may set them,
# and the API key in Authorization is for the entry host alone.
DROPPED_FROM_CALLERS = frozenset(
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

# Hop-by-hop headers, which concern one connection and are not passed on.
HOP_BY_HOP = frozenset(
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
