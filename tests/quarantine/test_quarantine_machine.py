"""Drawn histories of ends, with and without culprits, on processes that share a store."""

import asyncio
from contextlib import suppress

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crankseam.errors import RequestHeld
from crankseam.quarantine import holding
from crankseam_standins.memory_store import MemoryStore
from tests.quarantine.factories import Process, make_subject

PROCESSES = 3
SHORT = {(holding, "FIRST_HOLD_S"): 0.04, (holding, "PROBE_RETRY_S"): 0.02}
PROCESS = st.integers(0, PROCESSES - 1)
CULPRITS = [make_subject(body=b"culprit 0"), make_subject(body=b"culprit 1")]
HEALTHY = [make_subject(body=b"healthy %d" % number) for number in range(4)]
MOST_ENDS = 2
LONGEST_HOLD_S = 0.04 * holding.HOLD_FACTOR ** (holding.MOST_PROBES - 1)


class Histories(RuleBasedStateMachine):
    """Each rule is something that happens to back ends, processes or the store."""

    def __init__(self):
        super().__init__()
        self.before = {key: getattr(*key) for key in SHORT}
        for (module, name), value in SHORT.items():
            setattr(module, name, value)
        self.loop = asyncio.new_event_loop()
        self.store = MemoryStore()
        self.back_ends = 0
        self.ends = {subject.fingerprint: 0 for subject in CULPRITS}
        self.processes = []
        self._do(self._start())

    def _do(self, work):
        return self.loop.run_until_complete(asyncio.wait_for(work, 30))

    async def _start(self):
        self.processes = [Process(self.store) for _ in range(PROCESSES)]
        for one in self.processes:
            one.peers = [other for other in self.processes if other is not one]
            await one.ready()

    async def _stop(self):
        for one in self.processes:
            await one.stop()

    def teardown(self):
        self._do(self._stop())
        self.loop.close()
        for (module, name), value in self.before.items():
            setattr(module, name, value)

    def _new_end(self):
        self.back_ends += 1
        return f"b{self.back_ends}"

    async def _attempt(self, process, subject, neighbours=()):
        """A culprit's attempt, with runs of others beside it at each back end; like Forwarder."""
        one = self.processes[process].trial(subject)
        beside = [self.processes[process].trial(neighbour) for neighbour in neighbours]
        with suppress(RequestHeld):
            await one.admit()
            while one.may_send():
                ended = self._new_end()
                self.ends[subject.fingerprint] += 1
                with one.sending() as sent:
                    sent.ended_id = ended
                for other in beside:
                    if other.may_send():
                        with other.sending() as sent:
                            sent.ended_id = ended
        one.close()
        for other in beside:
            other.close()
        await asyncio.sleep(0.02)

    async def _serve(self, process, subject):
        """A healthy request; whether it was served."""
        one = self.processes[process].trial(subject)
        try:
            await one.admit()
            if not one.may_send():
                return False
            with one.sending() as sent:
                sent.was_answered = True
        except RequestHeld:
            return False
        finally:
            one.close()
            await asyncio.sleep(0.01)
        return True

    @rule(process=PROCESS, subject=st.sampled_from(CULPRITS), neighbours=st.sets(PROCESS))
    def culprit_returns(self, process, subject, neighbours):
        beside = [HEALTHY[number] for number in neighbours]
        self._do(self._attempt(process, subject, beside))

    @rule(process=PROCESS, number=st.integers(0, len(HEALTHY) - 1))
    def back_end_crashes_under_a_healthy_request(self, process, number):
        async def crash():
            one = self.processes[process].trial(HEALTHY[number])
            with suppress(RequestHeld):
                await one.admit()
                if one.may_send():
                    with one.sending() as sent:
                        sent.ended_id = self._new_end()
            one.close()
            await asyncio.sleep(0.02)

        self._do(crash())

    @rule(process=PROCESS, number=st.integers(0, len(HEALTHY) - 1))
    def healthy_request_comes(self, process, number):
        self._do(self._serve(process, HEALTHY[number]))

    @rule()
    def all_processes_are_killed(self):
        async def restart():
            await asyncio.sleep(0.1)
            await self._stop()
            await self._start()

        if not self.store.faults.down:
            self._do(restart())

    @rule(down=st.booleans())
    def store_is_down(self, down):
        self.store.faults.down = down
        self._do(asyncio.sleep(0.3 if not down else 0.02))

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.7]))
    def time_passes(self, seconds):
        self._do(asyncio.sleep(seconds))

    @invariant()
    def a_culprit_ends_few(self):
        most = MOST_ENDS + holding.MOST_PROBES
        assert all(count <= most for count in self.ends.values()), self.ends

    @invariant()
    def an_unknown_healthy_request_is_served(self):
        if not self.processes:
            return
        fresh = make_subject(body=b"fresh %d" % self.back_ends)
        assert self._do(self._serve(0, fresh))

    def healthy_ones_get_out_by_themselves(self):
        """At the end: each is served within the longest hold and a probe's turn."""
        self.store.faults.down = False

        async def until_served(number):
            end = self.loop.time() + LONGEST_HOLD_S + 5.0
            while not await self._serve(number % PROCESSES, HEALTHY[number]):
                assert self.loop.time() < end, number
                await asyncio.sleep(0.02)

        async def serve_all():
            await asyncio.sleep(0.5)
            for number in range(len(HEALTHY)):
                found = self.processes[0].table.find(HEALTHY[number].fingerprint)
                if found is None or found.record.probes < holding.MOST_PROBES:
                    await until_served(number)

        self._do(serve_all())


class CheckedHistories(Histories):
    """The same, with the check at the end."""

    def teardown(self):
        try:
            self.healthy_ones_get_out_by_themselves()
        finally:
            super().teardown()


CheckedHistories.TestCase.settings = settings(
    max_examples=15, stateful_step_count=12, deadline=None, derandomize=True
)
TestHistories = CheckedHistories.TestCase
