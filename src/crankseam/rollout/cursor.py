"""A trainer's cursor: the set of sample indices it has received, written as ranges `0-5,8`.

Owns the text form. The cursor is the truth of what a trainer has, in whichever order it came.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_INDEX = 1_000_000
"""Highest index that a cursor may name: a short text must not become a large set. Origin not
recorded."""


def parse_cursor(text: str) -> set[int]:
    """The indices in a cursor; the empty text is the empty set.

    Raises:
        ValueError: the text is no cursor.
    """
    received: set[int] = set()
    for part in text.split(",") if text else []:
        first, dash, last = part.partition("-")
        low = int(first)
        high = int(last) if dash else low
        if not 0 <= low <= high <= MAX_INDEX:
            raise ValueError(f"not a range of indices: {part}")
        received.update(range(low, high + 1))
    return received


def format_cursor(received: Iterable[int]) -> str:
    """The shortest cursor for a set of indices."""
    ranges: list[tuple[int, int]] = []
    for index in sorted(received):
        if ranges and ranges[-1][1] == index - 1:
            ranges[-1] = (ranges[-1][0], index)
        else:
            ranges.append((index, index))
    return ",".join(str(low) if low == high else f"{low}-{high}" for low, high in ranges)
