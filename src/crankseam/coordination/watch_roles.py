"""Which processes watch the store for all, and whom do the others ask?

Inputs: all living processes with the revisions at which they announced themselves first, and those
that this process passes over, since they failed it twice in a row.
Rule: the two that have been there longest watch the store. Where two could not answer all others,
the next ones are mirrors: they ask the watchers, and answer readers as these do. All others are
readers: they ask any of these, and the store itself when none answers.
Protects: each waiting watch and each change that it sees is a priced and limited call of the store
(17,574 -> 9,322 calls a day with 68 processes).
Shown by: `watcher_avoided`. Held by: tests/coordination/test_watch_roles.py, test_shared_watch.py.

Each process works this out from its own copy. Views that differ cost a call and no more: a process
that has no role by its own view answers nobody, and an answer carries its age.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

PROCESSES_PER_ANSWERER = 40
"""A reader has three questions waiting: so many of them cost some 5 % of a slow core."""
WATCHERS = 2
"""Each change costs each watcher a call; a second one is there for when the first is not. One of
24 or 40 processes watched before: five at 165 processes, eleven at 420."""
FEWEST_PROCESSES = 4
"""Below this each process watches by itself: there is little to save. At nine processes two
watchers made the price of calls smaller by 0.02 of worth."""


@dataclass(frozen=True, slots=True)
class Peer:
    """A process: its name and ``ip:port``, and when it first announced itself."""

    name: str
    address: str
    revision: int


@dataclass(frozen=True, slots=True)
class WatchRoles:
    """Who watches the store, and who answers readers, as one process sees it.

    Attributes
    ==========

    watchers : those that watch the store.
    answerers : those that answer readers: the watchers first, then the mirrors.
    is_watcher, is_answerer : whether this process is one; where nobody is known, each is both and
        acts for itself.
    """

    watchers: list[Peer]
    answerers: list[Peer]
    is_watcher: bool
    is_answerer: bool

    def askable(self) -> list[Peer]:
        """Those that this process may ask: a mirror asks watchers only, so that no two mirrors
        follow each other, and a watcher nobody."""
        if self.is_watcher:
            return []
        return self.watchers if self.is_answerer else self.answerers


def watcher_count(processes: int) -> int:
    """How many of so many processes watch the store.

    Examples
    ========

    >>> [watcher_count(n) for n in (3, 7, 68, 420)]
    [3, 2, 2, 2]
    """
    return processes if processes < FEWEST_PROCESSES else WATCHERS


def answerer_count(processes: int) -> int:
    """How many of so many processes answer readers: watchers, and mirrors where they need help.

    Examples
    ========

    >>> [answerer_count(n) for n in (3, 7, 68, 420)]
    [3, 2, 2, 11]
    """
    return max(watcher_count(processes), math.ceil(processes / PROCESSES_PER_ANSWERER))


def has_readers(processes: int) -> bool:
    """Whether some of so many processes rely on the watches of others."""
    return watcher_count(processes) < processes


def roles_of(
    processes: list[Peer], process: str, is_passed_over: Callable[[Peer], bool]
) -> WatchRoles:
    """The roles as the process of this name sees them.

    One that did not answer twice is passed over by each process that noticed, and the next watches
    in its place: else all its readers would watch the store themselves meanwhile.
    """
    longest_there = sorted(processes, key=lambda peer: (peer.revision, peer.name))
    answering = [peer for peer in longest_there if not is_passed_over(peer)]
    watchers = answering[: watcher_count(len(processes))]
    answerers = answering[: answerer_count(len(processes))]
    return WatchRoles(
        watchers, answerers, _is_among(watchers, process), _is_among(answerers, process)
    )


def _is_among(peers: list[Peer], process: str) -> bool:
    return not peers or any(peer.name == process for peer in peers)
