"""Names that several modules share: stored keys, headers, outcomes and bounds.

All of them are seen by others (the key-value service, callers, back ends) and stay as they are.
Times are seconds unless the name says otherwise.
"""

KEY_PREFIX = "/crankseam"
"""Every key in the key-value service starts with this."""

POINTER_KEY = f"{KEY_PREFIX}/config/pointer"
"""The accepted revision: which content-addressed parts make up the configuration."""

PART_PREFIX = f"{KEY_PREFIX}/config/parts/"
HISTORY_PREFIX = f"{KEY_PREFIX}/config/history/"
FOUNDING_PREFIX = f"{KEY_PREFIX}/records/founding/"
DUTY_PREFIX = f"{KEY_PREFIX}/duties/"
STATE_PREFIX = f"{KEY_PREFIX}/state/"

REPLICAS_PER_SLOT = 3
"""One may be lost while a majority still answers; one a zone, of three."""
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Largest message between nodes; a larger one ends its connection. Origin not recorded."""
MAX_STORED_ANSWER_BYTES = 64 * 1024
"""Largest answer that a request's record keeps to be given again; of a larger one it only says that
the request ran. Origin not recorded."""
MAX_REQUEST_BODY_BYTES = 4 * 1024 * 1024
"""Largest body of an app request. Origin not recorded."""

IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "Request-Id"
DECISION_HEADER = "Crankseam-Decision"
DEADLINE_HEADER = "Crankseam-Deadline-Ms"
"""Milliseconds the caller (or the node, towards a back end) still allows for the request."""

OUTCOME_NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_RUN = "run"
