"""A change must be in force at every front in time, whoever is frozen and whatever is drawn.

What happens: the store refuses a front, or was away for all, while some of its peers are frozen.
The front asks a frozen watcher, then reaches the store through a frozen peer, and then pauses for
as long as its failures in a row allow, although the store serves it again. Each of them is drawn,
so that it took a change 0.9 s late in one play and 2.5 s late in another, of 2.0 s allowed.
What showed it: on mbf-depot trouble-3 the log of a front has `follow_failed`
(KeyValueOutcomeUnknown, 1.1 s after the store was back), then nothing for 0.97 s, then
`configuration_taken`; another front asked a frozen peer when its own way opened.

Here every draw is the worst one: frozen peers first, the longest pauses, each moment of the change.
It runs on a clock of its own.
"""

import asyncio
import random
import time
from contextlib import asynccontextmanager

import pytest

from crankseam import clocks
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import Put, Transaction
from crankseam.coordination.relay import RelayedStore
from crankseam.coordination.shared_watch import SharedWatches
from crankseam.coordination.watch_roles import Peer
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable
from crankseam_standins.memory_store import MemoryStore
from tests.support.virtual_clock import VirtualClockLoop

IN_FORCE_S = 2.0
"""The aim: a change is in force at each front so long after its acknowledgement."""
CONTACT_S = 3.0
"""The aim counts for fronts that the store has served for so long."""
PROCESSES = 7
LAST = f"p{PROCESSES - 1:02d}"


class OwnWay:
    """One process's own way to the store: open, refusing, or silent."""

    def __init__(self, store):
        self._store = store
        self.state = "open"

    def __getattr__(self, name):
        async def call(*arguments):
            if self.state == "refusing":
                raise KeyValueUnavailable("refused")
            if self.state == "silent":
                await asyncio.sleep(1.0 + (arguments[2] if name == "watch" else 0.0))
                raise KeyValueOutcomeUnknown("silent")
            await asyncio.sleep(0.004)
            return await getattr(self._store, name)(*arguments)

        return call


class Fleet:
    """Processes that follow one prefix, each by its own way, by watchers and through peers."""

    def __init__(self):
        self.store = MemoryStore()
        self.peers = [Peer(f"p{n:02d}", f"p{n:02d}", n) for n in range(PROCESSES)]
        self.frozen = set()
        self.ways = {peer.name: OwnWay(self.store) for peer in self.peers}
        self.relays, self.watches, self.followers = {}, {}, {}
        for peer in self.peers:
            self._add(peer.name)

    def _add(self, name):
        others = [peer.name for peer in self.peers if peer.name != name]
        relay = RelayedStore(self.ways[name], lambda: others, self.call_relay)
        watches = SharedWatches(
            relay,
            lambda: self.peers,
            name,
            self.call_watches,
            IN_FORCE_S,
            lambda: relay.answered_at,
        )
        follower = PrefixFollower(watches, "op/", lambda key, entry: None, IN_FORCE_S)
        watches.share(follower)
        on_open = getattr(relay, "on_direct_again", None)
        if on_open is not None:
            on_open.append(follower.restart)
        self.relays[name], self.watches[name] = relay, watches
        self.followers[name] = follower

    async def call_relay(self, address, raw, longest_s):
        return await self._call(address, self.relays[address].serve(raw), longest_s)

    async def call_watches(self, address, raw, longest_s):
        return await self._call(address, self.watches[address].serve(raw), longest_s)

    async def _call(self, address, answer, longest_s):
        if address in self.frozen:
            answer.close()
            await asyncio.sleep(longest_s)
            raise KeyValueOutcomeUnknown("silent")
        await asyncio.sleep(0.001)
        try:
            return await asyncio.wait_for(answer, longest_s)
        except TimeoutError as error:
            raise KeyValueOutcomeUnknown("silent") from error

    def set_ways(self, state, *names):
        for name in names or self.ways:
            self.ways[name].state = state

    @asynccontextmanager
    async def following(self):
        tasks = [asyncio.create_task(one.run()) for one in self.followers.values()]
        try:
            for follower in self.followers.values():
                await follower.wait_synchronized()
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def change(self):
        await self.store.commit(Transaction(puts=[Put("op/config", b"new")]))

    async def seconds_until_taken(self, name):
        began = time.monotonic()
        while "op/config" not in self.followers[name].entries:
            await asyncio.sleep(0.01)
            assert time.monotonic() - began < 30.0, "the change was never taken"
        return time.monotonic() - began


@pytest.fixture
def play(monkeypatch):
    """Plays a story on a clock of its own, with the worst draws."""

    def run(story):
        loop = VirtualClockLoop()
        fleet = Fleet()
        monkeypatch.setattr(time, "monotonic", loop.time)
        monkeypatch.setattr(clocks, "promised_s", loop.time)
        name_of = lambda one: one if isinstance(one, str) else one.name  # noqa: E731
        monkeypatch.setattr(
            random, "choice", lambda found: min(found, key=lambda o: name_of(o) not in fleet.frozen)
        )
        monkeypatch.setattr(random.Random, "uniform", lambda _self, _low, high: high)

        async def whole():
            async with fleet.following():
                return await story(fleet)

        try:
            return loop.run_until_complete(whole())
        finally:
            loop.run_until_complete(asyncio.sleep(5.0))
            loop.close()
            monkeypatch.undo()

    return run


MOMENTS_S = [0.1 * tenth for tenth in range(31)]


@pytest.mark.parametrize("frozen", [{"p00", "p01"}, {"p00", "p01", "p02"}, {"p00", "p02", "p03"}])
def test_a_front_that_the_store_refuses_takes_a_change_in_time_beside_frozen_peers(play, frozen):
    late = {}
    for moment_s in MOMENTS_S:

        async def story(fleet, moment_s=moment_s):
            fleet.set_ways("refusing", LAST)
            await asyncio.sleep(5.0)
            fleet.frozen = set(frozen)
            await asyncio.sleep(moment_s)
            await fleet.change()
            return await fleet.seconds_until_taken(LAST)

        taken_s = play(story)
        if taken_s > IN_FORCE_S:
            late[round(moment_s, 1)] = round(taken_s, 2)
    assert not late, f"seconds by moment of the change: {late}"


@pytest.mark.parametrize("outage", ["refusing", "silent"])
@pytest.mark.parametrize("frozen", [{"p00"}, {"p00", "p01"}, {"p01", "p02", "p03"}])
def test_after_an_outage_for_all_a_change_is_taken_in_time_beside_frozen_peers(
    play, frozen, outage
):
    late = {}
    for moment_s in MOMENTS_S:

        async def story(fleet, moment_s=moment_s):
            fleet.set_ways(outage)
            await asyncio.sleep(4.0)
            fleet.frozen = set(frozen)
            await asyncio.sleep(0.7)
            fleet.set_ways("open")
            await asyncio.sleep(moment_s)
            await fleet.change()
            live = [name for name in fleet.ways if name not in frozen]
            return max([await fleet.seconds_until_taken(name) for name in live])

        taken_s = play(story)
        allowed_s = max(IN_FORCE_S, CONTACT_S - moment_s)
        if taken_s > allowed_s:
            late[round(moment_s, 1)] = round(taken_s, 2)
    assert not late, f"seconds by moment of the change: {late}"
