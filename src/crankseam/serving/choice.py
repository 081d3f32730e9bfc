"""Selects the back end that receives a request.

Inputs: the back ends of the service that accept new work, from the newest discovery data; the exact
number of requests that this process has in flight at each; the load that each back end last
reported, in requests, used for `back_ends.LOAD_REPORT_MAX_AGE_S` seconds; the monotonic time, in
seconds, until which each back end is avoided.
Rule: A back end that was already tried for this request is excluded. A back end that is avoided,
because it recently failed, terminated or rejected a request, is selected only if there is no other.
Among the rest the one with the lowest load per slot is selected; a tie is broken first in favor of
the caller's zone, then at random.
Purpose: Keeps callers away from failing back ends, further work away from busy back ends, and
traffic off the links between zones.
Logged as: `attempts` of `request_answered` and `request_given_up`.
Tested by: tests/serving/test_choice.py.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd

LOAD_DECIMALS = 2
"""Decimal places to which the load per slot, in requests, is rounded before back ends are compared.
Without rounding, loads would rarely be equal and the zone would never decide."""


class _Cost(NamedTuple):
    """Sort key of a back end: the lowest one is selected, and earlier fields take precedence."""

    is_avoided: bool
    load_per_slot: float
    is_in_other_zone: bool
    tie_break: float


def choose_back_end(
    candidates: Iterable[BackEnd],
    zone: str,
    now: float,
    excluded: Iterable[str] = (),
    generator: random.Random | None = None,
) -> BackEnd | None:
    """Return the back end for the next request; None if all candidates are excluded.

    Parameters
    ==========

    zone : zone of the caller, preferred when loads are equal.
    now : monotonic time, in seconds.
    excluded : ids of back ends that were already tried.
    generator : source of the random tie-breaks; set by tests.
    """
    random_source = generator or random
    remaining = [candidate for candidate in candidates if candidate.record.id not in excluded]
    if not remaining:
        return None
    return min(remaining, key=lambda back_end: _cost(back_end, zone, now, random_source.random()))


def _cost(back_end: BackEnd, zone: str, now: float, tie_break: float) -> _Cost:
    load = back_end.expected_load(now) / max(1, back_end.record.slots)
    return _Cost(
        is_avoided=back_end.avoid_until > now,
        load_per_slot=round(load, LOAD_DECIMALS),
        is_in_other_zone=back_end.record.zone != zone,
        tie_break=tie_break,
    )
