"""How long do watches of the store and questions to a watcher last, so that no change comes late?

Inputs: seconds within which an accepted change must be in force at a process.
Rule: a feed answers while it was confirmed within a share of that time, and a question waits as
long at most. A watcher's watch is shorter than the whole time, since it may be stale: a watch that
waits at the store and misses changes. A reader's own watch is what one question leaves of the time.
Protects: one stale watch, and one question to a silent process after it, fit the time together. A
reader that watched for longer served an old version for 2.9 s of 2 s allowed.
Shown by: the age of the copy in `configuration_confirmed_seconds`. Held by:
tests/coordination/test_shared_watch.py.
"""

from __future__ import annotations

from dataclasses import dataclass

FRESH_SHARE = 0.4
"""Of the time in which a change must be in force, so much may pass before a reader of a watcher
that has lost the store turns to the store itself. Origin of the figure not recorded."""
WATCH_SHARE = 0.7
"""Of the same time, a watcher's own watch lasts so much at most: it may be stale, and a reader must
still learn of the change in time. Origin of the figure not recorded."""
MIRROR_WAIT_SHARE = 0.2
"""A mirror's question waits so long, of the time for which a feed is fresh: the age of its answer,
the wait and the next wait must add up to less. Origin of the figure not recorded."""
ANSWER_SLACK_S = 0.3
"""A peer's answer is waited for so long beyond the question's own wait; origin not recorded."""
READER_MARGIN_S = 0.2
"""Left of the time for the answers of the store and of a peer, beside a reader's own watch and one
question. Origin of the figure not recorded."""
SHORTEST_WATCH_S = 0.2
"""A reader's own watch lasts so long at least, however short the time is: each is a call of the
store; origin not recorded."""


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """Times in seconds for one bound.

    Attributes
    ==========

    fresh_s : a feed confirmed longer ago answers nobody; a reader's question waits as long.
    mirror_wait_s : a mirror's question waits so long.
    watcher_watch_s : longest watch of a watcher on which others rely.
    reader_watch_s : longest watch of a reader that turned to the store.
    """

    fresh_s: float
    mirror_wait_s: float
    watcher_watch_s: float
    reader_watch_s: float

    @classmethod
    def within(cls, in_force_s: float) -> WatchTimes:
        """The times by which a change is in force within so many seconds.

        Examples
        ========

        >>> round(WatchTimes.within(2.0).reader_watch_s, 3)
        0.7
        """
        fresh_s = in_force_s * FRESH_SHARE
        question_s = fresh_s + ANSWER_SLACK_S
        reader_watch_s = max(SHORTEST_WATCH_S, in_force_s - question_s - READER_MARGIN_S)
        return cls(fresh_s, fresh_s * MIRROR_WAIT_SHARE, in_force_s * WATCH_SHARE, reader_watch_s)


def longest_answer_s(wait_s: float) -> float:
    """How long the answer to a question that waits so long is waited for."""
    return wait_s + ANSWER_SLACK_S
