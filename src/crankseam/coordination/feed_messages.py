"""Messages between a reader of a prefix and a process that serves its feed of the prefix.

The field names and the refusal codes are part of the wire format and must not change.
"""

from __future__ import annotations

from functools import singledispatch

import msgspec

from crankseam.coordination.interface import Changes, Entry, HistoryCompacted, Removal
from crankseam.errors import KeyValueError

LARGE_VALUE_BYTES = 16 * 1024
"""Readers fetch larger values from the store: the network link of a watcher is narrow, and would
carry each value once for each reader."""


class FeedQuestion(msgspec.Struct, frozen=True):
    """Request for the changes below a prefix after a revision.

    Attributes
    ==========

    after_revision : if it is negative, all entries of the prefix are requested.
    wait_s : seconds to wait for a change if there is none yet.
    """

    prefix: str
    after_revision: int
    wait_s: float


class FeedAnswer(msgspec.Struct, frozen=True):
    """The changes up to ``revision``, or a refusal.

    Attributes
    ==========

    refusal : code of the reason for a refusal; empty if the request was answered.
    large : keys whose values are too large for the answer; the reader gets them from the store.
    age_s : seconds since the store confirmed that there are no newer changes.
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
    """The refusal code for an error that prevented an answer."""
    return REFUSED_UNAVAILABLE


@refusal_of.register
def _(error: HistoryCompacted) -> str:
    return REFUSED_COMPACTED


def make_feed_answer(result: Changes, age_s: float) -> FeedAnswer:
    """Build the answer to a reader; large values are replaced by their keys."""
    entries: list[Entry] = []
    removals: list[Removal] = []
    large: list[str] = []
    for change in result.changes:
        if isinstance(change, Removal):
            removals.append(change)
        elif len(change.value) > LARGE_VALUE_BYTES:
            large.append(change.key)
        else:
            entries.append(change)
    return FeedAnswer("", entries, removals, large, result.revision, age_s)
