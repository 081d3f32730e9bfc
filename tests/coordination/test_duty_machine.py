"""Three processes compete for one duty while faults are injected.

Checks that fencing tokens never decrease, that each token has one holder, and that a holder
that lost the duty does not act again within the handover pause after its own last act.
"""

import asyncio
import time

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crankseam.coordination import duty as duty_module
from crankseam.coordination import process_lease as lease_module
from crankseam.coordination.duty import Duty
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable
from crankseam_standins.memory_store import MemoryStore

PAUSE_S = 0.2
TIMES = {
    (lease_module, "LEASE_S"): 0.3,
    (lease_module, "RENEW_S"): 0.05,
    (lease_module, "DRIFT_MARGIN_S"): 0.1,
    (duty_module, "HANDOVER_MARGIN_S"): 0.02,
    (duty_module, "FORMER_HOLDER_FIRST_S"): 0.05,
}
"""Shortened values of the production constants, in the same order of size."""
NAMES = ("a", "b", "c")
PROCESS = st.sampled_from(NAMES)


class FaultyStoreClient:
    """The store client of one process; it can be down or lose answers."""

    def __init__(self, store):
        self._store = store
        self.down = False
        self.lose_answers = 0

    def __getattr__(self, name):
        async def call(*arguments):
            if self.down:
                raise KeyValueUnavailable("down")
            answer = await getattr(self._store, name)(*arguments)
            if name != "watch" and self.lose_answers:
                self.lose_answers -= 1
                raise KeyValueOutcomeUnknown("lost")
            return answer

        return call


class Platform:
    """The target of the acts; it refuses a token that is lower than the highest one seen."""

    def __init__(self):
        self.acts = []
        self.highest = 0

    def act(self, name, fence):
        if fence < self.highest:
            return False
        self.highest = fence
        self.acts.append((time.monotonic(), name, fence))
        return True


class Process:
    def __init__(self, store, platform, name):
        self.client = FaultyStoreClient(store)
        self.platform = platform
        self.name = name
        self.frozen_s = 0.0
        self.late_acts = 0
        self.lease = ProcessLease(self.client)
        self.state = PrefixFollower(self.client, "state/", lambda key, entry: None, 0.05)
        self.duty = Duty(
            self.client, self.state, self.lease, name, "usage", PAUSE_S, lambda: list(NAMES)
        )
        self.lease.reliance_checks.append(self.duty.is_holder)
        work = (self.lease.run, self.state.run, self._act)
        self.tasks = [asyncio.create_task(one()) for one in work]

    async def _act(self):
        while True:
            await asyncio.sleep(0.01)
            fence = await self.duty.acquire_if_vacant()
            if fence is None:
                continue
            if self.frozen_s:
                # The process freezes after it has read its token, and acts under it afterwards.
                frozen_s, self.frozen_s = self.frozen_s, 0.0
                await asyncio.sleep(frozen_s)
                self.late_acts += 1
                if not self.platform.act(self.name, fence):
                    self.duty.refuse(fence)
                continue
            self.platform.act(self.name, fence)


class Competing(RuleBasedStateMachine):
    """Each rule injects a fault, if any, and then runs the processes for a short time."""

    def __init__(self):
        super().__init__()
        self.before = {key: getattr(*key) for key in TIMES}
        for (module, name), value in TIMES.items():
            setattr(module, name, value)
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self._start())

    async def _start(self):
        self.store = MemoryStore()
        self.platform = Platform()
        self.processes = {name: Process(self.store, self.platform, name) for name in NAMES}
        await asyncio.sleep(0.1)

    def teardown(self):
        async def stop():
            for process in self.processes.values():
                for task in process.tasks:
                    task.cancel()
            await asyncio.sleep(0)

        self.loop.run_until_complete(stop())
        self.loop.close()
        for (module, name), value in self.before.items():
            setattr(module, name, value)

    def _run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(name=PROCESS, down=st.booleans())
    def store_refuses_one(self, name, down):
        self.processes[name].client.down = down
        self._run(0.1)

    @rule(down=st.booleans())
    def store_is_down(self, down):
        for process in self.processes.values():
            process.client.down = down
        self._run(0.4)

    @rule(name=PROCESS, count=st.integers(1, 3))
    def answers_are_lost(self, name, count):
        self.processes[name].client.lose_answers = count
        self._run(0.1)

    @rule(name=PROCESS, seconds=st.sampled_from([0.05, 0.4, 0.9]))
    def holder_freezes_after_its_look(self, name, seconds):
        self.processes[name].frozen_s = seconds
        self._run(0.3)

    @rule(name=PROCESS)
    def lease_lapses(self, name):
        number = self.processes[name].lease.number
        if number in self.store._leases:
            self.store.expire_lease(number)
        self._run(0.1)

    @rule(name=PROCESS)
    def killed_and_started_again(self, name):
        for task in self.processes[name].tasks:
            task.cancel()

        async def start():
            self.processes[name] = Process(self.store, self.platform, name)
            await asyncio.sleep(0.2)

        self.loop.run_until_complete(start())

    @rule()
    def time_passes(self):
        self._run(0.5)

    @invariant()
    def tokens_never_fall_and_have_one_holder(self):
        holders = {}
        highest = 0
        for _, name, fence in self.platform.acts:
            assert fence >= highest
            highest = fence
            assert holders.setdefault(fence, name) == name, "two holders under one token"

    @invariant()
    def nobody_comes_back_within_the_pause(self):
        turns = []
        for at, name, _ in self.platform.acts:
            if not turns or turns[-1][0] != name:
                turns.append([name, at, at])
            turns[-1][2] = at
        for first, _, third in zip(turns, turns[1:], turns[2:], strict=False):
            if first[0] == third[0]:
                assert third[1] - first[2] >= PAUSE_S


Competing.TestCase.settings = settings(
    max_examples=8, stateful_step_count=10, deadline=None, derandomize=True
)
TestCompeting = Competing.TestCase
