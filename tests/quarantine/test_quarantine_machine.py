"""Random histories of crashes, with and without a request that causes them, on processes that share
a store."""

import asyncio
from contextlib import suppress

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crankseam.errors import RequestHeld
from crankseam.quarantine import holding
from crankseam_standins.memory_store import MemoryStore
from tests.quarantine.factories import Process, make_identity

PROCESSES = 3
SHORT_TIMES = {(holding, "FIRST_HOLD_S"): 0.04, (holding, "PROBE_RETRY_S"): 0.02}
PROCESS_INDEX = st.integers(0, PROCESSES - 1)
CULPRITS = [make_identity(body=b"culprit 0"), make_identity(body=b"culprit 1")]
HEALTHY = [make_identity(body=b"healthy %d" % number) for number in range(4)]
CRASH_LIMIT = 2
LONGEST_HOLD_S = 0.04 * holding.HOLD_FACTOR ** (holding.MAX_PROBES - 1)


class Histories(RuleBasedStateMachine):
    """Each rule is an event at the back ends, the processes or the store."""

    def __init__(self):
        super().__init__()
        self.original_times = {key: getattr(*key) for key in SHORT_TIMES}
        for (module, name), value in SHORT_TIMES.items():
            setattr(module, name, value)
        self.loop = asyncio.new_event_loop()
        self.store = MemoryStore()
        self.back_ends = 0
        self.crash_counts = {identity.fingerprint: 0 for identity in CULPRITS}
        self.processes = []
        self._run_async(self._start())

    def _run_async(self, work):
        return self.loop.run_until_complete(asyncio.wait_for(work, 30))

    async def _start(self):
        self.processes = [Process(self.store) for _ in range(PROCESSES)]
        for process in self.processes:
            process.peers = [other for other in self.processes if other is not process]
            await process.ready()

    async def _stop(self):
        for process in self.processes:
            await process.stop()

    def teardown(self):
        self._run_async(self._stop())
        self.loop.close()
        for (module, name), value in self.original_times.items():
            setattr(module, name, value)

    def _new_crash_id(self):
        self.back_ends += 1
        return f"b{self.back_ends}"

    async def _attempt(self, process, identity, neighbours=()):
        """Sends a request that crashes each back end, as the forwarder does.

        Each back end also runs the requests in `neighbours`, and its crash counts against them too.
        """
        tracker = self.processes[process].tracker(identity)
        neighbour_trackers = [
            self.processes[process].tracker(neighbour) for neighbour in neighbours
        ]
        with suppress(RequestHeld):
            await tracker.admit()
            while tracker.may_send():
                ended = self._new_crash_id()
                self.crash_counts[identity.fingerprint] += 1
                with tracker.sending() as sent:
                    sent.crashed_id = ended
                for other in neighbour_trackers:
                    if other.may_send():
                        with other.sending() as sent:
                            sent.crashed_id = ended
        tracker.close()
        for other in neighbour_trackers:
            other.close()
        await asyncio.sleep(0.02)

    async def _serve(self, process, identity):
        """Sends a healthy request; returns whether it was served."""
        tracker = self.processes[process].tracker(identity)
        try:
            await tracker.admit()
            if not tracker.may_send():
                return False
            with tracker.sending() as sent:
                sent.was_answered = True
        except RequestHeld:
            return False
        finally:
            tracker.close()
            await asyncio.sleep(0.01)
        return True

    @rule(
        process=PROCESS_INDEX, identity=st.sampled_from(CULPRITS), neighbours=st.sets(PROCESS_INDEX)
    )
    def culprit_returns(self, process, identity, neighbours):
        neighbour_identities = [HEALTHY[number] for number in neighbours]
        self._run_async(self._attempt(process, identity, neighbour_identities))

    @rule(process=PROCESS_INDEX, number=st.integers(0, len(HEALTHY) - 1))
    def back_end_crashes_under_a_healthy_request(self, process, number):
        async def crash():
            tracker = self.processes[process].tracker(HEALTHY[number])
            with suppress(RequestHeld):
                await tracker.admit()
                if tracker.may_send():
                    with tracker.sending() as sent:
                        sent.crashed_id = self._new_crash_id()
            tracker.close()
            await asyncio.sleep(0.02)

        self._run_async(crash())

    @rule(process=PROCESS_INDEX, number=st.integers(0, len(HEALTHY) - 1))
    def healthy_request_comes(self, process, number):
        self._run_async(self._serve(process, HEALTHY[number]))

    @rule()
    def all_processes_are_killed(self):
        async def restart():
            await asyncio.sleep(0.1)
            await self._stop()
            await self._start()

        if not self.store.faults.down:
            self._run_async(restart())

    @rule(down=st.booleans())
    def store_is_down(self, down):
        self.store.faults.down = down
        self._run_async(asyncio.sleep(0.3 if not down else 0.02))

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.7]))
    def time_passes(self, seconds):
        self._run_async(asyncio.sleep(seconds))

    @invariant()
    def a_culprit_ends_few(self):
        max_crashes = CRASH_LIMIT + holding.MAX_PROBES
        assert all(count <= max_crashes for count in self.crash_counts.values()), self.crash_counts

    @invariant()
    def an_unknown_healthy_request_is_served(self):
        if not self.processes:
            return
        fresh = make_identity(body=b"fresh %d" % self.back_ends)
        assert self._run_async(self._serve(0, fresh))

    def check_healthy_requests_are_released(self):
        """Checks at the end of a history that healthy requests are released without an operator.

        Each one that has probes left must be served within the longest hold plus 5 s.
        """
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
                if found is None or found.record.probes < holding.MAX_PROBES:
                    await until_served(number)

        self._run_async(serve_all())


class CheckedHistories(Histories):
    """Histories that end with a check that healthy requests are released."""

    def teardown(self):
        try:
            self.check_healthy_requests_are_released()
        finally:
            super().teardown()


CheckedHistories.TestCase.settings = settings(
    max_examples=15, stateful_step_count=12, deadline=None, derandomize=True
)
TestHistories = CheckedHistories.TestCase
