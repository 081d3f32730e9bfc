"""The `Retry-After` delay of a refused request.

Inputs: the reason why the request is not served now.
Rule: each reason has one constant, in seconds; `problems` rounds it up to whole seconds for the
header. Most are 1 s, the smallest value other than 0 that the header can carry.
Purpose: keeps callers from retrying at once, and from waiting longer than the cause lasts.
Logged as: the header `Retry-After`.
Tested by: tests/requests/test_app_requests.py.
"""

from __future__ import annotations

CONFIGURATION_UNCONFIRMED_S = 1.0
"""This node holds no configuration lease. Relays read the configuration register five times per
lease term of 2.5 s."""
STOPPING_S = 1.0
"""This node is stopping; another node can serve the request at once."""
OVERLOADED_S = 1.0
"""The concurrency limit of this node or of the service is reached."""
NO_BACK_END_S = 1.0
"""No back end is eligible, or the retry budget is spent. Routing excludes a back end that refused a
connection for the same time (`routing.CONNECTION_FAILURE_S`)."""
STALE_VIEW_S = 1.0
"""This process was stalled, so its view of the cluster is stale until its next heartbeat, which
follows within 1 s."""
PAST_DEADLINE_S = 1.0
"""The caller's deadline passed before the request was forwarded."""
RECORD_UNAVAILABLE_S = 1.0
"""The replicas could not agree on the request's record, or another handling holds the claim."""
OTHER_REGION_S = 2.0
"""The service's home region cannot be reached from this node."""
