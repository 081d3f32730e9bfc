"""The route of a store call: directly to the store, or through one of the peers.

Inputs: the outcomes and the start times of the direct calls of this process (seconds of the clock
that includes the time for which the machine was suspended); the addresses of peers; which of them
recently refused or did not answer (monotonic seconds).
Rule: calls go through a peer once the direct calls have failed for a while; meanwhile the direct
route is probed from time to time. A peer that cannot reach the store itself refuses, and another
peer is asked at once. A peer that recently did not answer is asked only if there is no other. A
read is hedged: it is sent to the next peer as well while the previous one has not answered. A
change that may have been done is not repeated.
Purpose: a process that the store refuses while it serves others keeps its lease. On a day on
which the store refused a third of the processes, this improved the overall result.
Logged as: `store_through_peers`, `store_direct_again`.
Tested by: tests/coordination/test_store_route.py, tests/coordination/test_relay.py and
tests/coordination/test_frozen_peers.py.
"""

from __future__ import annotations

import random

from crankseam.coordination.avoidance import AvoidedPeers
from crankseam.coordination.relay_messages import RelayAnswer, RelayCall
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueThrottled, KeyValueUnavailable

FAILING_AFTER_S = 0.5
"""Calls go through peers once the direct calls have failed for this long. A lease of 1.8 s that was
renewed 0.45 s before the first failure then has 0.6 s left, after deduction of the drift margin.
With 0.8 s a lease was lost."""
PROBE_INTERVAL_S = 1.0
"""Interval between probes of the direct route while calls go through peers."""
MAX_PEER_REFUSALS = 3
"""Number of refusals after which no further peer is asked for a call. If the store refuses a third
of the processes, one in 27 calls fails."""
HEDGE_DELAY_S = 0.25
"""A read is sent to the next peer as well if the previous one has not answered for this long. A
change then reaches a process that the store refuses within 2 s, despite three frozen peers and a
frozen watcher; with one peer after the other it took 3.5 s
(tests/coordination/test_frozen_peers.py)."""
CALL_SLACK_S = 1.0
"""Time limit for the answer of a peer to a call, equal to the time limit of a direct call."""
WATCH_SLACK_S = 0.4
"""Time limit for the answer of a peer to a watch, beyond the wait of the watch. A watch through a
frozen peer must not hide a change for longer than the bound; with 1.5 s this happened on 2 of 40
days."""
SILENT_AVOIDED_S = 3.0
"""A peer that did not answer is avoided for this long: it may be gone but still be listed, until
its long lease expires."""
REFUSING_AVOIDED_S = 0.3
"""A peer that refused is avoided for this long, and is preferred to a silent one. Otherwise silent
peers would be asked in its place while the store is down for all processes."""

_NOT_EXECUTED = (KeyValueUnavailable.__name__, KeyValueThrottled.__name__)
_ROUTE_FAILURES = (*_NOT_EXECUTED, KeyValueOutcomeUnknown.__name__)
_NON_IDEMPOTENT_CALLS = ("commit", "grant_lease")
_READ_CALLS = ("get", "page", "watch")


def was_not_executed(answer: RelayAnswer) -> bool:
    """Whether a call failed without any effect, so that even a change may be repeated."""
    return answer.error in _NOT_EXECUTED


def is_route_failure(answer: RelayAnswer) -> bool:
    """Whether the error is a failure of the route to the store, not an answer of the store."""
    return answer.error in _ROUTE_FAILURES


def may_repeat(call: RelayCall, answer: RelayAnswer) -> bool:
    """Whether a failed call may be repeated; a change only if it was certainly not done."""
    if was_not_executed(answer):
        return True
    is_outcome_unknown = answer.error == KeyValueOutcomeUnknown.__name__
    return is_outcome_unknown and call.name not in _NON_IDEMPOTENT_CALLS


def hedge_delay_s(call: RelayCall) -> float | None:
    """Seconds after which a call is also sent to the next peer; None if it is not hedged."""
    return HEDGE_DELAY_S if call.name in _READ_CALLS else None


def call_timeout_s(call: RelayCall) -> float:
    """Time limit in seconds for the answer of a peer to a call."""
    return call.wait + (WATCH_SLACK_S if call.name == "watch" else CALL_SLACK_S)


class DirectRoute:
    """Tracks whether the store serves the direct calls of this process.

    All times are seconds of the clock that includes the time for which the machine was suspended.

    Attributes
    ==========

    answered_at : when the latest call was sent that the store answered directly.
    """

    def __init__(self) -> None:
        self.answered_at = float("-inf")
        self._failing_since: float | None = None
        self._last_probe_at = float("-inf")

    def is_failing(self, now: float) -> bool:
        """Whether the direct calls have been failing for at least `FAILING_AFTER_S`."""
        since = self._failing_since
        return since is not None and now - since >= FAILING_AFTER_S

    def try_start_probe(self, now: float) -> bool:
        """Whether a probe of the direct route is due; if so, record its start at ``now``."""
        if now - self._last_probe_at < PROBE_INTERVAL_S:
            return False
        self._last_probe_at = now
        return True

    def answered(self, began_at: float) -> bool:
        """Record that the store answered a call; return whether the route works.

        A call that started (``began_at``) before the first failure, such as a watch, may succeed
        on an older connection, and does not show that new connections work.
        """
        self.answered_at = max(self.answered_at, began_at)
        if self._failing_since is not None and began_at < self._failing_since:
            return False
        self._failing_since = None
        return True

    def failed(self, now: float) -> None:
        """Record that the store did not serve a call."""
        if self._failing_since is None:
            self._failing_since = now
            self._last_probe_at = now


class PeerSelector:
    """Selects the peer for a call, and remembers recent failures. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._silent = AvoidedPeers(SILENT_AVOIDED_S)
        self._refusing = AvoidedPeers(REFUSING_AVOIDED_S)

    def record_silence(self, peer: str, now: float) -> None:
        """Record that a peer could not be reached or did not answer."""
        self._silent.avoid(peer, now)

    def record_refusal(self, peer: str, now: float) -> None:
        """Record that a peer answered that nothing was done."""
        self._refusing.avoid(peer, now)

    def responsive(self, peers: list[str], tried: list[str], now: float) -> list[str]:
        """The peers that were not tried for this call and are not avoided as silent."""
        return [
            peer for peer in peers if peer not in tried and not self._silent.is_avoided(peer, now)
        ]

    def pick(self, peers: list[str], tried: list[str], now: float) -> str:
        """Return a random peer that was not tried for this call.

        Peers without a recent failure are preferred, then peers that refused, then silent ones.

        Raises
        ======

        KeyValueUnavailable : no untried peer is left.
        """
        responsive = self.responsive(peers, tried, now)
        preferred = [peer for peer in responsive if not self._refusing.is_avoided(peer, now)]
        found = preferred or responsive or [peer for peer in peers if peer not in tried]
        if not found:
            raise KeyValueUnavailable("no peer is known")
        return random.choice(found)
