"""Which processes watch the store, and from which of them the others learn of changes.

Inputs: all live processes with the revisions at which they first announced themselves, and the
processes that this process excludes because they failed to answer it twice in a row.
Rule: the two processes that were announced first are the watchers; they watch the store. Where two
watchers could not serve all other processes, the next ones are mirrors: they follow the watchers
and serve readers as the watchers do. All others are readers: they ask any watcher or mirror, and
call the store if none answers. Watchers and mirrors are the feed servers.
Purpose: each pending watch, and each change that it returns, is a call of the store that is charged
for and limited in number (17,574 -> 9,322 calls a day with 68 processes).
Logged as: `watcher_avoided`.
Tested by: tests/coordination/test_watch_roles.py and tests/coordination/test_shared_watch.py.

Each process computes the roles from its own copy of the list. If the copies differ, the only cost
is an additional call: a process that is no feed server by its own copy refuses to answer, and each
answer carries its age.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

PROCESSES_PER_FEED_SERVER = 40
"""Maximum number of processes for each feed server. A reader has three requests pending at a time;
the requests of this many readers use about 5 % of a slow CPU core."""
WATCHERS = 2
"""Number of watchers. Each change costs one call of each watcher; the second watcher is there for
when the first is unavailable. One watcher for every 40 processes would mean five watchers with 165
processes, and eleven with 420."""
MIN_PROCESSES_FOR_SHARING = 4
"""With fewer processes each one watches the store, because sharing would save little. With nine
processes, two watchers reduced the price of the calls only slightly."""


@dataclass(frozen=True, slots=True)
class Peer:
    """A process: its name, its address (``ip:port``) and the revision of its first announcement."""

    name: str
    address: str
    revision: int


@dataclass(frozen=True, slots=True)
class WatchRoles:
    """The watchers and the feed servers according to one process.

    Attributes
    ==========

    watchers : the processes that watch the store.
    feed_servers : the processes that answer readers: first the watchers, then the mirrors.
    is_watcher, serves_readers : whether this process is a watcher, and whether it is a feed server.
        If no other process is eligible, it has both roles and calls the store itself.
    """

    watchers: list[Peer]
    feed_servers: list[Peer]
    is_watcher: bool
    serves_readers: bool

    def feed_sources(self) -> list[Peer]:
        """The processes whose feed this process may follow.

        A watcher follows no other process. A mirror follows only watchers, so that no two mirrors
        follow each other.
        """
        if self.is_watcher:
            return []
        return self.watchers if self.serves_readers else self.feed_servers


def watcher_count(processes: int) -> int:
    """Number of watchers among a number of processes.

    Examples
    ========

    >>> [watcher_count(n) for n in (3, 7, 68, 420)]
    [3, 2, 2, 2]
    """
    return processes if processes < MIN_PROCESSES_FOR_SHARING else WATCHERS


def feed_server_count(processes: int) -> int:
    """Number of feed servers among a number of processes: the watchers, and mirrors if necessary.

    Examples
    ========

    >>> [feed_server_count(n) for n in (3, 7, 68, 420)]
    [3, 2, 2, 11]
    """
    return max(watcher_count(processes), math.ceil(processes / PROCESSES_PER_FEED_SERVER))


def has_readers(processes: int) -> bool:
    """Whether some of a number of processes follow the feed of another one."""
    return watcher_count(processes) < processes


def assign_roles(
    processes: list[Peer], process: str, is_excluded: Callable[[Peer], bool]
) -> WatchRoles:
    """Assign the roles according to the process of the given name.

    A process that failed to answer twice is excluded by each process that noticed, and the next one
    watches in its place. Otherwise all its readers would watch the store themselves until it
    answers again.
    """
    oldest_first = sorted(processes, key=lambda peer: (peer.revision, peer.name))
    eligible = [peer for peer in oldest_first if not is_excluded(peer)]
    watchers = eligible[: watcher_count(len(processes))]
    feed_servers = eligible[: feed_server_count(len(processes))]
    return WatchRoles(
        watchers, feed_servers, _has_role(watchers, process), _has_role(feed_servers, process)
    )


def _has_role(peers: list[Peer], process: str) -> bool:
    return not peers or any(peer.name == process for peer in peers)
