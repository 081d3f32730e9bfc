"""Names that several modules share. Times are seconds unless the name says otherwise."""

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
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_STORED_ANSWER_BYTES = 64 * 1024
MAX_REQUEST_BODY_BYTES = 4 * 1024 * 1024

IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "Request-Id"
DECISION_HEADER = "Crankseam-Decision"
DEADLINE_HEADER = "Crankseam-Deadline-Ms"
"""Milliseconds the caller (or the node, towards a back end) still allows for the request."""

OUTCOME_NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_RUN = "run"
