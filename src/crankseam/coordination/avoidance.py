"""Exponential back-off for each peer: a peer that failed is not called for a while.

This module keeps the time until which each peer is avoided. The caller decides whether to call an
avoided peer when no other peer is left, and whether a failure counts while the peer is avoided.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Avoided:
    """End of the current avoidance period (monotonic seconds) and its length in seconds."""

    until: float
    for_s: float


class AvoidedPeers:
    """Avoids a peer for a period that doubles with each failure until the peer answers.

    Parameters
    ==========

    initial_s : seconds for which a peer is avoided after its first failure.
    max_s : upper limit of the period in seconds; by default ``initial_s``, so it does not grow.

    Examples
    ========

    >>> avoided = AvoidedPeers(2.0, 16.0)
    >>> avoided.avoid("a", now=10.0)
    >>> avoided.is_avoided("a", now=11.9), avoided.is_avoided("a", now=12.0)
    (True, False)
    >>> avoided.avoid("a", now=12.0)
    >>> avoided.is_avoided("a", now=15.9), avoided.has_failed_repeatedly("a")
    (True, True)
    """

    def __init__(self, initial_s: float, max_s: float | None = None) -> None:
        self._initial_s = initial_s
        self._max_s = max_s if max_s is not None else initial_s
        self._avoided: dict[str, _Avoided] = {}

    def avoid(self, peer: str, now: float) -> None:
        """Record a failure of a peer at ``now`` and avoid the peer from then on."""
        last = self._avoided.get(peer)
        for_s = 2.0 * last.for_s if last is not None else self._initial_s
        for_s = min(self._max_s, for_s)
        self._avoided[peer] = _Avoided(now + for_s, for_s)

    def answered(self, peer: str) -> None:
        """Record an answer of a peer: stop avoiding it and reset its failures."""
        self._avoided.pop(peer, None)

    def is_avoided(self, peer: str, now: float) -> bool:
        """Whether a peer is avoided at ``now``."""
        avoided = self._avoided.get(peer)
        return avoided is not None and avoided.until > now

    def has_failed_repeatedly(self, peer: str) -> bool:
        """Whether a peer has failed at least twice since its last answer.

        This is derived from the length of the period, so it is never true if the period does not
        grow.
        """
        avoided = self._avoided.get(peer)
        return avoided is not None and avoided.for_s > self._initial_s
