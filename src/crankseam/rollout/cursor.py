"""A trainer's cursor: the set of sample indices it has received, written as ranges `0-5,8`.

This module defines the text form. Samples may be received in any order, so the cursor is a set and
not a position. It is the authoritative statement of which samples a trainer has.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_INDEX = 1_000_000
"""Highest index that a cursor may contain. Without a limit, a short text such as `0-999999999`
would be expanded into a very large set."""


def parse_cursor(text: str) -> set[int]:
    """Return the set of indices in a cursor; an empty text means the empty set.

    Raises
    ======

    ValueError : the text is not a valid cursor.

    See Also
    ========

    format_cursor
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
    """Return the shortest cursor for a set of indices.

    See Also
    ========

    parse_cursor
    """
    ranges: list[tuple[int, int]] = []
    for index in sorted(received):
        if ranges and ranges[-1][1] == index - 1:
            ranges[-1] = (ranges[-1][0], index)
        else:
            ranges.append((index, index))
    return ",".join(str(low) if low == high else f"{low}-{high}" for low, high in ranges)
