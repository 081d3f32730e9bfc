"""Which way does a call of the store take: this process's own, or through which peer?

Inputs: how this process's own calls ended, and when they began (seconds of the clock that counts
suspended time); addresses of peers; which of them did not answer lately (monotonic seconds).
Rule: a call goes through a peer once the own ones have failed for a while; meanwhile the own way is
tried now and then. A peer that can do nothing itself says so, and another one is asked at once; one
that is silent is asked only if there is no other. A call that only reads is made through the next
peer as well while the one before is silent. A change that may have been done is not repeated.
Protects: the lease of a process that the store refuses while it serves others (worth 0.52 -> 0.65
on a day on which a third of the processes were refused).
Shown by: `store_through_peers`, `store_direct_again`. Held by: tests/coordination/test_relay.py.
"""

from __future__ import annotations

import random

from crankseam.coordination.avoidance import AvoidedPeers
from crankseam.coordination.relay_messages import RelayAnswer, RelayCall
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueThrottled, KeyValueUnavailable

FAILING_AFTER_S = 0.5
"""Calls go through peers once this process's own have failed for so long: a lease of 1.8 s that was
renewed 0.45 s before leaves 0.6 s for it then. At 0.8 s a lease was lost."""
PROBE_S = 1.0
"""How often the own way is tried meanwhile; origin not recorded."""
PEERS_TRIED = 3
"""So many peers are asked for one call while each says that nothing was done: where the store
refuses a third of the processes, one in 27 calls finds no way."""
NEXT_PEER_S = 0.25
"""A read goes to the next peer too when the one before has not answered for so long. A change then
reaches a process that the store refuses within 2 s beside three frozen peers and a frozen watcher;
with one peer after the other it took 3.5 s (tests/coordination/test_frozen_peers.py)."""
CALL_SLACK_S = 1.0
"""A peer answers a call within this: as long as a process waits for the store itself."""
WATCH_SLACK_S = 0.4
"""A peer answers a watch within its wait and this: a watch through a peer that froze must not hide
a change for longer than it may be hidden. At 1.5 s one did, in 2 of 40 days."""
SILENT_AVOIDED_S = 3.0
"""A peer that did not answer is asked no more for so long: it may be gone and still be listed, for
as long as an idle lease lives."""
REFUSED_AVOIDED_S = 0.3
"""A peer that could do nothing is asked again after this, and before a silent one: else the silent
ones would be asked in its place while the store is down for all."""

_NOTHING_DONE = (KeyValueUnavailable.__name__, KeyValueThrottled.__name__)
_NOT_SERVED = (*_NOTHING_DONE, KeyValueOutcomeUnknown.__name__)
_CALLS_MADE_ONCE = ("commit", "grant_lease")
_READS = ("get", "page", "watch")


def has_done_nothing(answer: RelayAnswer) -> bool:
    """Whether a call failed so that the same one may be made again, a change too."""
    return answer.error in _NOTHING_DONE


def has_not_served(answer: RelayAnswer) -> bool:
    """Whether the failure is one of the way to the store, not an answer of the store."""
    return answer.error in _NOT_SERVED


def may_repeat(call: RelayCall, answer: RelayAnswer) -> bool:
    """Whether a failed call may be made again: a change only if it was not done."""
    if has_done_nothing(answer):
        return True
    is_unknown = answer.error == KeyValueOutcomeUnknown.__name__
    return is_unknown and call.name not in _CALLS_MADE_ONCE


def patience_s(call: RelayCall) -> float | None:
    """After how long the next peer makes a call as well; None where one peer only may make it."""
    return NEXT_PEER_S if call.name in _READS else None


def longest_wait_s(call: RelayCall) -> float:
    """How long a peer's answer to a call is waited for."""
    return call.wait + (WATCH_SLACK_S if call.name == "watch" else CALL_SLACK_S)


class DirectWay:
    """Whether the store serves this process's own calls.

    All times are seconds of the clock that counts suspended time.

    Attributes
    ==========

    answered_at : when the newest call was sent that the store answered directly.
    """

    def __init__(self) -> None:
        self.answered_at = float("-inf")
        self._failing_since: float | None = None
        self._probed_at = float("-inf")

    def is_failing(self, now: float) -> bool:
        """Whether the own calls have failed for a while."""
        since = self._failing_since
        return since is not None and now - since >= FAILING_AFTER_S

    def take_probe(self, now: float) -> bool:
        """Whether it is time to try the own way again; the next time is counted from here."""
        if now - self._probed_at < PROBE_S:
            return False
        self._probed_at = now
        return True

    def answered(self, began_at: float) -> bool:
        """The store answered a call that began at this time; whether the way is open.

        A call that began before the trouble, such as a watch, succeeds on its older connection
        and says nothing of new ones.
        """
        self.answered_at = max(self.answered_at, began_at)
        if self._failing_since is not None and began_at < self._failing_since:
            return False
        self._failing_since = None
        return True

    def failed(self, now: float) -> None:
        """The store did not serve a call."""
        if self._failing_since is None:
            self._failing_since = now
            self._probed_at = now


class PeerChoice:
    """Which peer makes a call; remembers which were of no use lately. Times are monotonic."""

    def __init__(self) -> None:
        self._silent = AvoidedPeers(SILENT_AVOIDED_S)
        self._refusing = AvoidedPeers(REFUSED_AVOIDED_S)

    def was_silent(self, peer: str, now: float) -> None:
        """A peer did not answer."""
        self._silent.avoid(peer, now)

    def could_do_nothing(self, peer: str, now: float) -> None:
        """A peer answered that nothing was done."""
        self._refusing.avoid(peer, now)

    def answering(self, peers: list[str], tried: list[str], now: float) -> list[str]:
        """Peers that were not tried for this call and are not known to be silent."""
        return [
            peer for peer in peers if peer not in tried and not self._silent.is_avoided(peer, now)
        ]

    def pick(self, peers: list[str], tried: list[str], now: float) -> str:
        """Any peer that was not tried; one that was of no use lately only if there is no other.

        Raises
        ======

        KeyValueUnavailable : there is no peer.
        """
        answering = self.answering(peers, tried, now)
        useful = [peer for peer in answering if not self._refusing.is_avoided(peer, now)]
        found = useful or answering or [peer for peer in peers if peer not in tried]
        if not found:
            raise KeyValueUnavailable("no peer is known")
        return random.choice(found)
