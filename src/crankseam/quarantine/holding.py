"""Decides when a request is held, probed, released and forgotten.

Inputs: ids of the back ends that crashed under the request and the number of probes since, as held
by the store (as recent as the last answer of the watch); seconds since this process learned of the
last change; sends of the request that are in flight here.
Rule: A request is held, that is, sent to no back end, once the number of back ends that crashed
under it reaches its limit (by default two). A held request is probed up to three times, after
holds of 3, 12 and 48 s: the process that wins the store's compare-and-swap sends it once, to one
back end. A complete answer releases the request in all processes. After three probes that crashed a
back end, only an operator releases it, or it is forgotten after one day. Requests of callers and
scoring requests are held; the items of jobs and the samples of steps never are, since they are
owed: `crash_backoff` of backoff.py spaces their attempts.
Purpose: A request that crashes every back end cannot take down its service. Healthy requests that
only shared a back end with it are released after the first hold.
Logged as: `request_held`, `item_held`, `suspect_probed`, `suspect_released`.
Tested by: tests/quarantine/, tests/platform/test_crashing_requests.py.
Measurements: docs/design/14.
"""

from __future__ import annotations

DEFAULT_CRASH_LIMIT = 2
"""Number of back ends that crash under one request before it is held. With two, a request that was
interrupted by an unrelated crash is still served at its second attempt, and a request that crashes
every back end leaves one of a service's three back ends running."""
MAX_PROBES = 3
"""Number of probes of a held request; after the last one only an operator releases it."""
FIRST_HOLD_S = 3.0
"""Hold before the first probe, which releases a healthy request that only shared a back end with
the one that causes the crash. A longer hold of a scoring request would delay the training step it
is part of."""
HOLD_FACTOR = 4.0
"""Factor by which the hold grows with each probe under which a back end crashed."""
SUSPECT_RETENTION_S = 600.0
"""Retention of a request that has crashes but is not held, counted from its last change."""
HELD_RETENTION_S = 86_400.0
"""Retention of a held request, counted from its last change."""
UNSTORED_RETENTION_S = 60.0
"""Retention of a record that was received from a peer but never stored; by then the process that
sent it is assumed to have ended."""
PROBE_RETRY_S = 0.5
"""Pause before a probe is requested again after the store did not grant it or granted it to
another process."""
PROBE_POLL_S = 0.05
"""Interval at which a scoring request whose hold is over checks whether the probe of another
suspect has finished."""


def is_held(crashes: int, crash_limit: int) -> bool:
    """Whether the number of crashes has reached the limit."""
    return crashes >= crash_limit


def hold_duration_s(probes: int) -> float:
    """Returns for how many seconds after its last change a request is held."""
    if probes >= MAX_PROBES:
        return HELD_RETENTION_S
    return FIRST_HOLD_S * HOLD_FACTOR**probes


def retention_s(held: bool, stored: bool) -> float:
    """Returns for how many seconds after its last change a suspect is kept.

    Parameters
    ==========

    held : whether the request is held.
    stored : whether its record is in the store; False if it was only received from a peer.
    """
    if not stored:
        return UNSTORED_RETENTION_S
    return HELD_RETENTION_S if held else SUSPECT_RETENTION_S


def may_send_again(crashes: int, in_flight: int, crash_limit: int) -> bool:
    """Whether a request may be sent once more. Each send in flight may still crash its back end."""
    return crashes + in_flight < crash_limit


def retry_after_s(held_for_s: float) -> float:
    """Returns the seconds after which a caller should retry: the rest of the hold, or a short pause
    if the hold is over and another process has the probe."""
    return max(held_for_s, PROBE_RETRY_S)


def probe_pause_s(held_for_s: float) -> float:
    """Returns the seconds after which a scoring request requests a probe again."""
    return min(PROBE_RETRY_S, max(held_for_s, PROBE_POLL_S))
