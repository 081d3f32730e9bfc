"""Constants that several modules share: stored keys, headers, outcomes and bounds.

The key-value service, callers and back ends see all of them, so their values must not change.
Times are in seconds unless the name says otherwise.
"""

KEY_PREFIX = "/crankseam"
"""Prefix of every key in the key-value service."""

POINTER_KEY = f"{KEY_PREFIX}/config/pointer"
"""Key of the accepted revision, which lists the content-addressed parts of the configuration."""

PART_PREFIX = f"{KEY_PREFIX}/config/parts/"
HISTORY_PREFIX = f"{KEY_PREFIX}/config/history/"
FOUNDING_PREFIX = f"{KEY_PREFIX}/records/founding/"
DUTY_PREFIX = f"{KEY_PREFIX}/duties/"
STATE_PREFIX = f"{KEY_PREFIX}/state/"

REPLICAS_PER_SLOT = 3
"""With one replica in each of three zones, one may be lost while a majority still answers."""
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Largest message between nodes; a larger one closes its connection."""
MAX_STORED_ANSWER_BYTES = 64 * 1024
"""Largest answer that a request's record stores for replay; for a larger one, the record only says
that the request ran."""
MAX_REQUEST_BODY_BYTES = 4 * 1024 * 1024
"""Largest body of an app request."""

IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "Request-Id"
DECISION_HEADER = "Crankseam-Decision"
DEADLINE_HEADER = "Crankseam-Deadline-Ms"
"""Milliseconds that the caller (or, towards a back end, the node) still allows for the request."""

OUTCOME_NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_RUN = "run"
