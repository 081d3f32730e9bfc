"""Durations of watches and of requests to feed servers, so that each change arrives in time.

Inputs: the bound in seconds within which an accepted change must be in force at every process.
Rule: a feed answers while its last confirmation is more recent than a fraction of the bound, and a
request waits for at most the same time. A watch of a watcher is shorter than the bound, because it
may be stale: a stale watch is pending at the store but misses changes. The own watch of a reader
may take what a request leaves of the bound.
Purpose: one stale watch, followed by one request to a process that does not answer, takes less than
the bound. A reader with a longer watch served an old version for 2.9 s, with a bound of 2 s.
Logged as: no event; the metric `configuration_confirmed_seconds` shows the age of the copy.
Tested by: tests/coordination/test_watch_times.py and tests/coordination/test_shared_watch.py.
"""

from __future__ import annotations

from dataclasses import dataclass

FRESH_FRACTION = 0.4
"""Fraction of the bound after which a reader calls the store itself if its watcher has lost contact
with the store."""
WATCH_FRACTION = 0.7
"""Fraction of the bound for which a watch of a watcher lasts at most: the watch may be stale, and
readers must still receive the change in time."""
MIRROR_WAIT_FRACTION = 0.2
"""Wait of a mirror's request, as a fraction of the time for which a feed is fresh. The age of an
answer, the wait and the next wait must together be shorter than this time."""
ANSWER_SLACK_S = 0.3
"""The answer of a peer is awaited this long beyond the wait of the request."""
READER_MARGIN_S = 0.2
"""Part of the bound that a reader's own watch and one request leave for the transmission of the
answers of the store and of the peer."""
MIN_WATCH_S = 0.2
"""Minimum wait of a reader's own watch, even if the bound is short, because each watch is a call of
the store."""


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """Durations in seconds for one bound.

    Attributes
    ==========

    fresh_s : a feed refuses to answer if its last confirmation is older; also the wait of a
        reader's request.
    mirror_wait_s : wait of a mirror's request.
    watcher_watch_s : longest watch of a watcher that has readers.
    reader_watch_s : longest watch of a reader that calls the store itself.
    """

    fresh_s: float
    mirror_wait_s: float
    watcher_watch_s: float
    reader_watch_s: float

    @classmethod
    def within(cls, in_force_s: float) -> WatchTimes:
        """Compute the durations for a bound of ``in_force_s`` seconds.

        Examples
        ========

        >>> round(WatchTimes.within(2.0).reader_watch_s, 3)
        0.7
        """
        fresh_s = in_force_s * FRESH_FRACTION
        request_s = fresh_s + ANSWER_SLACK_S
        reader_watch_s = max(MIN_WATCH_S, in_force_s - request_s - READER_MARGIN_S)
        return cls(
            fresh_s, fresh_s * MIRROR_WAIT_FRACTION, in_force_s * WATCH_FRACTION, reader_watch_s
        )


def answer_timeout_s(wait_s: float) -> float:
    """Time limit in seconds for the answer to a request that waits for up to ``wait_s`` seconds."""
    return wait_s + ANSWER_SLACK_S
