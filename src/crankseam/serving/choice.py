"""Which back end gets a request?

Inputs: the service's back ends that take new work, as discovery last told; requests of this
process in flight there, exact; their own load reports, in requests, believed for
`back_ends.LOAD_REPORT_S`; until when each is avoided, in monotonic seconds.
Rule: A back end that was tried for this request is left out. One that is avoided, since it failed,
ended or rejected a request lately, is taken only if there is no other. Of the rest the one with the
least load per slot wins, then one in the caller's zone, then a random tie-break.
Protects: callers from back ends that fail, busy back ends from more work, and links between zones.
Shown by: `attempts` of `request_answered` and `request_given_up`.
Held by: tests/serving/test_choice.py.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd

LOAD_DIGITS = 2
"""Digits after the point of the load per slot, in requests, by which back ends are told apart.
Origin not recorded; some rounding is needed for the zone to decide between equals."""


class _Cost(NamedTuple):
    """Orders back ends; the smallest is chosen, the first field that differs decides."""

    is_avoided: bool
    load_per_slot: float
    is_in_other_zone: bool
    tie_break: float


def choose(
    candidates: Iterable[BackEnd],
    zone: str,
    now: float,
    excluded: Iterable[str] = (),
    generator: random.Random | None = None,
) -> BackEnd | None:
    """The back end that gets the next request; None if all are excluded.

    Parameters
    ==========

    zone : the caller's zone, preferred between equals.
    now : monotonic time, in seconds.
    excluded : ids that were tried already.
    generator : draws the tie-breaks; for tests.
    """
    draw = generator or random
    left = [one for one in candidates if one.record.id not in excluded]
    if not left:
        return None
    return min(left, key=lambda back_end: _cost(back_end, zone, now, draw.random()))


def _cost(back_end: BackEnd, zone: str, now: float, tie_break: float) -> _Cost:
    load = back_end.expected_load(now) / max(1, back_end.record.slots)
    return _Cost(
        is_avoided=back_end.avoid_until > now,
        load_per_slot=round(load, LOAD_DIGITS),
        is_in_other_zone=back_end.record.zone != zone,
        tie_break=tie_break,
    )
