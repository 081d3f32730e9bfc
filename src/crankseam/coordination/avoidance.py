"""Which peers are not asked for a while, since they did not answer.

Owns until when each peer is avoided. Whether an avoided peer is asked all the same where there is
no other, and whether a failure while it is avoided counts, is decided by whoever asks.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Avoided:
    """Monotonic seconds until which a peer is avoided, and for how many seconds in all."""

    until: float
    for_s: float


class AvoidedPeers:
    """Avoids a peer for a time that doubles with each failure until it answers.

    Parameters
    ==========

    first_s : seconds for which a peer is avoided after its first failure.
    longest_s : the most to which the time grows; without it, the time stays the first one.

    Examples
    ========

    >>> avoided = AvoidedPeers(2.0, 16.0)
    >>> avoided.avoid("a", now=10.0)
    >>> avoided.is_avoided("a", now=11.9), avoided.is_avoided("a", now=12.0)
    (True, False)
    >>> avoided.avoid("a", now=12.0)
    >>> avoided.is_avoided("a", now=15.9), avoided.has_failed_again("a")
    (True, True)
    """

    def __init__(self, first_s: float, longest_s: float | None = None) -> None:
        self._first_s = first_s
        self._longest_s = longest_s if longest_s is not None else first_s
        self._avoided: dict[str, _Avoided] = {}

    def avoid(self, peer: str, now: float) -> None:
        """A peer was of no use at ``now``."""
        last = self._avoided.get(peer)
        for_s = 2.0 * last.for_s if last is not None else self._first_s
        for_s = min(self._longest_s, for_s)
        self._avoided[peer] = _Avoided(now + for_s, for_s)

    def answered(self, peer: str) -> None:
        """A peer answered: it is avoided no longer, and its failures are forgotten."""
        self._avoided.pop(peer, None)

    def is_avoided(self, peer: str, now: float) -> bool:
        """Whether a peer is avoided at ``now``."""
        avoided = self._avoided.get(peer)
        return avoided is not None and avoided.until > now

    def has_failed_again(self, peer: str) -> bool:
        """Whether a peer failed twice or more without an answer between."""
        avoided = self._avoided.get(peer)
        return avoided is not None and avoided.for_s > self._first_s
