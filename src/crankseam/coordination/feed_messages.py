"""What a process asks of one that watches the store for it, and the answer, as they travel.

The wire carries the field names and the refusals: they stay.
"""

from __future__ import annotations

from functools import singledispatch

import msgspec

from crankseam.coordination.interface import Changes, Entry, HistoryCompacted, Removal
from crankseam.errors import KeyValueError

LARGE_VALUE_BYTES = 16 * 1024
"""Larger values are read from the store: a watcher's link is narrow, and it would carry them once
for each reader. Origin of the figure not recorded."""


class FeedQuestion(msgspec.Struct, frozen=True):
    """What is new below a prefix? With a negative revision: all that is there.

    Attributes
    ==========

    wait_s : seconds to wait for news where there is none yet.
    """

    prefix: str
    after_revision: int
    wait_s: float


class FeedAnswer(msgspec.Struct, frozen=True):
    """Changes up to ``revision``.

    Attributes
    ==========

    refusal : why there is no answer; empty where there is one.
    large : keys whose values are to be read from the store.
    age_s : seconds since the store confirmed that there is nothing newer.
    """

    refusal: str = ""
    entries: list[Entry] = []
    removals: list[Removal] = []
    large: list[str] = []
    revision: int = 0
    age_s: float = 0.0


REFUSED_COMPACTED = "compacted"
REFUSED_UNAVAILABLE = "unavailable"


@singledispatch
def refusal_of(error: KeyValueError) -> str:
    """The refusal that stands for a failure to answer."""
    return REFUSED_UNAVAILABLE


@refusal_of.register
def _(error: HistoryCompacted) -> str:
    return REFUSED_COMPACTED


def as_answer(seen: Changes, age_s: float) -> FeedAnswer:
    """The answer to a reader; large values it reads from the store."""
    entries: list[Entry] = []
    removals: list[Removal] = []
    large: list[str] = []
    for change in seen.changes:
        if isinstance(change, Removal):
            removals.append(change)
        elif len(change.value) > LARGE_VALUE_BYTES:
            large.append(change.key)
        else:
            entries.append(change)
    return FeedAnswer("", entries, removals, large, seen.revision, age_s)
