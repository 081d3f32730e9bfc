"""Which back end gets a request."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable

from crankseam.serving.back_ends import BackEnd


def choose(
    candidates: Iterable[BackEnd],
    zone: str,
    excluded: Iterable[str] = (),
    generator: random.Random | None = None,
) -> BackEnd | None:
    """The least loaded candidate; avoided ones only when there is no other.

    Args:
        zone: the caller's zone, preferred between equals.
        excluded: ids that were tried already.
    """
    draw = generator or random
    now = time.monotonic()
    left = [one for one in candidates if one.record.id not in excluded]
    if not left:
        return None

    def cost(back_end: BackEnd) -> tuple[bool, float, bool, float]:
        slots = max(1, back_end.record.slots)
        load = back_end.expected_load(now) / slots
        return (
            back_end.avoid_until > now,
            round(load, 2),
            back_end.record.zone != zone,
            draw.random(),
        )

    return min(left, key=cost)
