"""State machine over records: lost, slow and late messages, crashes and moves, in any order.

Invariant: a value that a caller was told is agreed stays agreed, and every reader sees it.

The test runs on a virtual clock to be reproducible: hypothesis also draws whether the fast round
stops waiting for a slow replica. On the real clock this happened only on a loaded machine, and with
it the failure of `test_fast_round_reads`: 16 of about 40 random seeds failed with fourteen such
processes on 8 cores, and 0 of 3 runs with the test alone on the machine.
"""

import asyncio
import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from crankseam.errors import RecordError
from crankseam.peers.messages import Accept, Prepare, ReplicaSet
from crankseam.records.proposer import FAST_ROUND_GRACE_S, RecordKey
from crankseam.records.slots import majority
from tests.support.memory_cluster import MemoryCluster
from tests.support.virtual_clock import VirtualClockLoop

RECORDS = [RecordKey(0, f"record-{number}", 1000) for number in range(2)]
MAX_LATE_MESSAGES = 200
DELAYS_S = [0.0, 0.5 * FAST_ROUND_GRACE_S, 1.5 * FAST_ROUND_GRACE_S, 3 * FAST_ROUND_GRACE_S]
"""Delays of a slow message. The two longest exceed the time that the fast round waits. They are a
few fixed values, so that some answers arrive at the same moment."""


def decode(value):
    return msgspec.msgpack.decode(value) if value else []


class RecordMachine(RuleBasedStateMachine):
    """Each change appends a unique entry to a list, so that a lost agreed change is detected."""

    @initialize(seed=st.integers(0, 2**32), slow=st.sampled_from([0.0, 0.2, 0.5]))
    def begin(self, seed, slow):
        self.random = random.Random(seed)
        self.loop = VirtualClockLoop()
        self.cluster = MemoryCluster([f"{name}@1" for name in "abcde"])
        self.current: ReplicaSet = self.cluster.found(["a@1", "b@1", "c@1"])
        self.incarnations = dict.fromkeys("abcde", 1)
        self.loss = 0.0
        self.slow = slow
        self.late = []
        self.entries = 0
        self.agreed = {record.key: [] for record in RECORDS}
        self.clients = [self.cluster.client(f"p{n}@1", self.current) for n in range(3)]
        self.cluster.lose_request = self._lose_request
        self.cluster.lose_answer = lambda *_args: self.random.random() < self.loss
        self.cluster.delay_s = self._delay_s

    def teardown(self):
        if hasattr(self, "loop"):
            self._run(asyncio.sleep(2 * max(DELAYS_S)))  # let abandoned calls end
            self.loop.close()

    def _lose_request(self, caller, target, message):
        if isinstance(message, Accept | Prepare) and len(self.late) < MAX_LATE_MESSAGES:
            if self.random.random() < 0.2:
                self.late.append((caller, target, message))  # a copy that arrives much later
        return self.random.random() < self.loss

    def _delay_s(self, _caller, _target, _message):
        is_slow = self.random.random() < self.slow
        return self.random.choice(DELAYS_S) if is_slow else 0.0

    def _run(self, operation):
        return self.loop.run_until_complete(operation)

    async def _append_entry(self, client, record):
        self.entries += 1
        entry = self.entries
        for _ in range(self.random.randrange(4)):
            await asyncio.sleep(0)

        def change(value):
            held = decode(value)
            return msgspec.msgpack.encode([*held, entry]) if entry not in held else None

        try:
            value = await client.proposer.change(record, change)
        except RecordError:
            return
        if entry in decode(value):
            self.agreed[record.key].append(entry)

    async def _create(self, client, record):
        self.entries += 1
        entry = self.entries
        try:
            reserved = await client.proposer.create(record, msgspec.msgpack.encode([entry]))
            if reserved is None:
                return
            self.agreed[record.key].append(entry)
            self.entries += 1
            second = [entry, self.entries]
            if await client.proposer.overwrite(record, reserved, msgspec.msgpack.encode(second)):
                self.agreed[record.key].append(second[1])
        except RecordError:
            return

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3, 0.5]))
    def set_loss(self, loss):
        self.loss = loss

    @rule(slow=st.sampled_from([0.0, 0.2, 0.5]))
    def set_slow(self, slow):
        self.slow = slow

    @rule(count=st.integers(1, 4), fast=st.booleans())
    def write_at_once(self, count, fast):
        async def operation():
            writes = []
            for _ in range(count):
                client = self.random.choice(self.clients)
                record = self.random.choice(RECORDS)
                writes.append(
                    self._create(client, record) if fast else self._append_entry(client, record)
                )
            await asyncio.gather(*writes)

        self._run(operation())

    @rule()
    def late_messages_arrive(self):
        async def operation():
            self.random.shuffle(self.late)
            arriving, self.late = self.late, []
            loss, self.loss = self.loss, 0.0
            for caller, target, message in arriving:
                if target in self.cluster.stores:
                    self.cluster.lose_request, keep = (lambda *_a: False), self._lose_request
                    await self.cluster.deliver(caller, target, message)
                    self.cluster.lose_request = keep
            self.loss = loss

        self._run(operation())

    def _replica_sets_held(self):
        """Return the sets that some replica holds, sealed or not.

        The newest one is in force once a majority of its members serves it.
        """
        stores = self.cluster.stores.values()
        return [store.slots[0].replica_set for store in stores if 0 in store.slots]

    def _count_serving(self, replica_set):
        serving = 0
        for member in replica_set.members:
            store = self.cluster.stores.get(member)
            held = store.slots.get(0) if store else None
            serving += held is not None and held.replica_set == replica_set
        return serving

    @rule(choice=st.integers(0, 4))
    def crash_and_restart_one(self, choice):
        """Restart a replica without its memory, if every held set keeps a serving majority."""
        name = "abcde"[choice]
        identity = f"{name}@{self.incarnations[name]}"
        for replica_set in self._replica_sets_held():
            after = self._count_serving(replica_set) - (identity in replica_set.members)
            if identity in replica_set.members and after < majority(replica_set):
                return
        self.cluster.stores.pop(identity, None)
        self.incarnations[name] += 1
        self.cluster.add(f"{name}@{self.incarnations[name]}")

    @rule()
    def reads_under_loss(self):
        async def operation():
            for record in RECORDS:
                try:
                    value = await self.random.choice(self.clients).proposer.read(record)
                except RecordError:
                    continue
                known = set(self.agreed[record.key])
                assert known <= set(decode(value)), f"{record.key}: a read missed an agreed entry"
                self.agreed[record.key] = decode(value)

        self._run(operation())

    @rule(loss=st.sampled_from([0.0, 0.3, 0.6]))
    def move(self, loss):
        self.loss = loss

        async def operation():
            client = self.random.choice(self.clients)
            newest = max(self._replica_sets_held(), key=lambda s: s.epoch)
            client.slots.update(newest)
            living = [f"{name}@{run}" for name, run in self.incarnations.items()]
            members = sorted(self.random.sample(living, 3))
            try:
                moved = await client.reconfigurer.move(client.slots.get(0), members)
            except RecordError:
                return
            for other in self.clients:
                if self.random.random() < 0.7:
                    other.slots.update(moved)

        self._run(operation())

    @rule()
    def finish_moves(self):
        async def operation():
            for store in list(self.cluster.stores.values()):
                for old, agreed in store.sealed_slots():
                    client = self.random.choice(self.clients)
                    try:
                        await client.reconfigurer.finish(old, agreed)
                    except RecordError:
                        continue

        self._run(operation())

    @invariant()
    def what_was_agreed_is_seen(self):
        if not hasattr(self, "loop"):
            return

        async def read(record):
            loss, self.loss = self.loss, 0.0
            try:
                newest = max(self._replica_sets_held(), key=lambda s: s.epoch)
                if self._count_serving(newest) < majority(newest):
                    return None  # a move is incomplete: no operation can succeed
                reader = self.cluster.client("reader@1", newest)
                return await reader.proposer.read(record)
            except RecordError:
                return None
            finally:
                self.loss = loss

        for record in RECORDS:
            value = self._run(read(record))
            if value is not None:
                missing = set(self.agreed[record.key]) - set(decode(value))
                assert not missing, f"{record.key} lost {missing}"
                self.agreed[record.key] = decode(value)  # a value that was read is agreed as well


RecordMachine.TestCase.settings = settings(max_examples=250, stateful_step_count=40)
TestRecordMachine = RecordMachine.TestCase
