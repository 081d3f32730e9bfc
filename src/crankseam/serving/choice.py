"""Selects the back end for a request.

Inputs: what this process knows of each back end: its own requests there, which are exact; the load
that the back end reported with its last answer, which is at most 1.5 s old; the time until which
the back end is avoided after a failure; at a contended service its time factor
(`expected_completion`).
Rule: a back end that is excluded because it was already tried is never selected; one that is
avoided, because it recently failed, terminated or rejected a request, is selected only if there is
no other. Among the rest the one with the lowest load per slot is selected; a tie is broken first in
favor of the caller's zone, then at random. At a contended service, CANDIDATES of those of the rest
that have a free slot are drawn at random, or of all the rest if none has; the one with the earliest
expected completion is selected, or the one in the caller's zone if they are about equal.
Purpose: keeps callers away from failing back ends, further work away from busy and slow back ends,
and traffic off the links between zones. The draw keeps many processes with few requests each, which
hold the same outdated reports, from choosing the same back end at the same moment.
Logged as: `attempts` of `request_answered` and `request_given_up`.
Tested by: tests/serving/test_choice.py, test_contended_choice.py.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from crankseam.serving.back_ends import BackEnd, slots_of
from crankseam.serving.expected_completion import (
    TimeFactors,
    are_about_equal,
    completion_at,
    load_at,
)
from crankseam.serving.isolation import log_left_out

LOAD_DECIMALS = 2
"""Decimal places to which the load per slot, in requests, is rounded before back ends are compared.
Without rounding, loads would rarely be equal and the zone would never decide."""
CANDIDATES = 2
"""Number of back ends drawn at random at a contended service. A second one keeps most requests away
from slow and full back ends; with more, processes with the same reports choose more alike."""


_Value = TypeVar("_Value")


class _Cost(NamedTuple):
    """Sort key of a back end: the lowest one is selected, and earlier fields take precedence."""

    is_avoided: bool
    load_per_slot: float
    is_in_other_zone: bool
    tie_break: float


class _Completion(NamedTuple):
    """A back end, and when one more request is expected to be complete there."""

    expected: float
    back_end: BackEnd


class Draws(Protocol):
    """Source of random numbers: the module `random`, or a generator."""

    def random(self) -> float:
        """Return a number from 0 to 1."""

    def sample(self, population: Sequence[BackEnd], k: int) -> list[BackEnd]:
        """Return k different back ends in random order."""


def choose_back_end(
    candidates: Iterable[BackEnd],
    zone: str,
    now: float,
    excluded: Iterable[str] = (),
    generator: random.Random | None = None,
    time_factors: TimeFactors | None = None,
) -> BackEnd | None:
    """Return the back end for the next request; None if all candidates are excluded.

    Parameters
    ==========

    zone : zone of the caller, preferred when loads are equal.
    now : monotonic time, in seconds.
    excluded : ids of back ends that were already tried.
    generator : source of the random draws and tie-breaks; set by tests.
    time_factors : time factors of the candidates if the service is contended; None otherwise.
    """
    random_source: Draws = generator or random
    remaining = [candidate for candidate in candidates if candidate.record.id not in excluded]
    if not remaining:
        return None
    if time_factors is not None:
        return _choose_contended(remaining, zone, now, time_factors, random_source)
    costs = _evaluate_each(
        remaining, lambda back_end: _cost(back_end, zone, now, random_source.random())
    )
    return min(costs, key=lambda pair: pair[0])[1] if costs else None


def _evaluate_each(
    back_ends: Iterable[BackEnd], evaluate: Callable[[BackEnd], _Value]
) -> list[tuple[_Value, BackEnd]]:
    """Return the back ends with their values, without those whose evaluation fails."""
    evaluated = []
    for back_end in back_ends:
        try:
            evaluated.append((evaluate(back_end), back_end))
        except Exception:
            log_left_out("choice", back_end.record.id)
    return evaluated


def _cost(back_end: BackEnd, zone: str, now: float, tie_break: float) -> _Cost:
    load = back_end.expected_load(now) / max(1, back_end.record.slots)
    return _Cost(
        is_avoided=back_end.avoid_until > now,
        load_per_slot=round(load, LOAD_DECIMALS),
        is_in_other_zone=back_end.record.zone != zone,
        tie_break=tie_break,
    )


def _choose_contended(
    candidates: list[BackEnd],
    zone: str,
    now: float,
    time_factors: TimeFactors,
    random_source: Draws,
) -> BackEnd | None:
    """Return the better one of a few back ends drawn at random; see the module's rule."""
    usable = [candidate for candidate in candidates if candidate.avoid_until <= now] or candidates
    loads = _evaluate_each(usable, lambda back_end: load_at(back_end, now))
    free = [back_end for load, back_end in loads if load < slots_of(back_end)]
    eligible = free or [back_end for _, back_end in loads]
    if not eligible:
        return None
    drawn = random_source.sample(eligible, min(CANDIDATES, len(eligible)))
    completions = sorted(
        (
            _Completion(
                completion_at(back_end, time_factors.get(back_end.record.id, 1.0), now), back_end
            )
            for back_end in drawn
        ),
        key=lambda one: one.expected,
    )
    earliest = completions[0]
    for one in completions:
        if one.back_end.record.zone == zone and are_about_equal(earliest.expected, one.expected):
            return one.back_end
    return earliest.back_end
