"""When is a caller told to come back?

Inputs: why the request is not served now.
Rule: one constant for each reason; the answer rounds it up to whole seconds (`problems`).
Protects: this node from callers that come back at once, and callers from waiting longer than the
cause lasts.
Shown by: `Retry-After`. Held by: tests/requests/test_app_requests.py. All times are seconds. None
was measured: 1 is the smallest value that the header can carry. Origin not recorded.
"""

from __future__ import annotations

UNCONFIRMED_S = 1.0
"""This node holds no configuration lease; relays read the register five times a term of 2.5 s."""
STOPPING_S = 1.0
"""This node is stopping; another one serves at once."""
OVERLOADED_S = 1.0
"""This node or the service's limit is full."""
NO_BACK_END_S = 1.0
"""No back end is eligible, or the retry budget is spent; one that refused a connection is passed
over for as long (`routing.CONNECTION_FAILURE_S`)."""
STALE_VIEW_S = 1.0
"""This process stood still; its next heartbeat, 1 s at most, renews its view."""
PAST_DEADLINE_S = 1.0
"""The caller's deadline passed before the request was forwarded."""
RECORD_S = 1.0
"""The request's record could not be agreed, or another handling holds the claim."""
OTHER_REGION_S = 2.0
"""The service's home region cannot be reached from here."""
