"""Processes follow one prefix through each other while faults are injected.

Checks that no copy returns to an older state: the revision of a key only rises, and a key is only
removed if it was removed at the store. Without faults every copy must become equal to the store.
"""

import asyncio
import time

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import Put, Removal, Transaction
from crankseam.coordination.shared_watch import Peer, SharedWatches
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import LONGEST_SECONDS

PROCESSES = 14
"""Enough processes that two of them watch for all others."""
IN_FORCE_S = 0.1
RUN_S = 0.03
"""Seconds for which the processes run after each rule."""
KEYS = st.sampled_from([f"a/{number}" for number in range(4)])
PROCESS = st.integers(0, 3)
"""The two watchers and two readers."""


class FaultyStoreClient:
    """The store client of one process; it can be down for this process alone."""

    def __init__(self, store):
        self._store = store
        self.down = False

    def answered_at(self):
        return float("-inf") if self.down else time.monotonic()

    def __getattr__(self, name):
        async def call(*arguments):
            if self.down:
                raise KeyValueUnavailable("down")
            return await getattr(self._store, name)(*arguments)

        return call


class Following(RuleBasedStateMachine):
    """Each rule makes a change or injects a fault, and then runs the processes for a short time."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.problems = []
        self.held = [{} for _ in range(PROCESSES)]
        self.loop.run_until_complete(self._start())

    async def _start(self):
        self.store = MemoryStore()
        self.silent = set()
        peers = [Peer(f"p{number:02d}", str(number), number) for number in range(PROCESSES)]
        self.clients = [FaultyStoreClient(self.store) for _ in peers]
        self.watches = [
            SharedWatches(
                client, lambda: peers, peer.name, self._ask, IN_FORCE_S, client.answered_at
            )
            for client, peer in zip(self.clients, peers, strict=True)
        ]
        self.followers = []
        for number, watches in enumerate(self.watches):
            follower = PrefixFollower(
                watches,
                "a/",
                lambda key, entry, number=number: self._check_change(number, key, entry),
                0.1,
            )
            watches.share(follower)
            self.followers.append(follower)
        self.tasks = [asyncio.create_task(one.run()) for one in self.followers]

    async def _ask(self, address, body, timeout_s):
        if int(address) in self.silent:
            await asyncio.sleep(timeout_s)
            raise KeyValueOutcomeUnknown("silent")
        return await self.watches[int(address)].serve(body)

    def _check_change(self, number, key, entry):
        """Record a problem if a revision did not rise, or if a removal has none at the store."""
        known = self.held[number].get(key, 0)
        if entry is not None:
            if entry.revision <= known:
                self.problems.append((number, key, known, entry.revision))
            self.held[number][key] = entry.revision
            return
        gone = [one.revision for one in self.store.log if one.key == key]
        gone_at = [one.revision for one in self.store.log if isinstance(one, Removal)]
        if not any(revision > known for revision in gone if revision in gone_at):
            self.problems.append((number, key, known, "gone"))

    def _run(self):
        self.loop.run_until_complete(asyncio.sleep(RUN_S))
        assert not self.problems

    @rule(key=KEYS)
    def put(self, key):
        self.store.force(Transaction(puts=[Put(key, b"x")]))
        self._run()

    @rule(key=KEYS)
    def remove(self, key):
        self.store.force(Transaction(removals=[key]))
        self._run()

    @rule(number=PROCESS)
    def fall_silent(self, number):
        self.silent.add(number)
        self._run()

    @rule(number=PROCESS)
    def answer_again(self, number):
        self.silent.discard(number)
        self._run()

    @rule(number=PROCESS, down=st.booleans())
    def lose_or_regain_the_store(self, number, down):
        self.clients[number].down = down
        self._run()

    @rule()
    def drop_history(self):
        self.store.faults.compacted = True
        self._run()

    @rule(deaf=st.booleans())
    def hear_nothing(self, deaf):
        self.store.faults.hears_nothing = deaf
        self._run()

    def teardown(self):
        try:
            self.loop.run_until_complete(self._settle())
        finally:
            for task in self.tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.gather(*self.tasks, return_exceptions=True))
            self.loop.close()

    async def _settle(self):
        """Clear the faults, and wait until every copy equals the store."""
        self.silent.clear()
        self.store.faults.hears_nothing = False
        for client in self.clients:
            client.down = False
        async with asyncio.timeout(LONGEST_SECONDS):
            while any(one.entries != self.store.entries for one in self.followers):
                await asyncio.sleep(0.01)
        assert not self.problems


TestFollowing = Following.TestCase
TestFollowing.settings = settings(max_examples=25, stateful_step_count=12)
