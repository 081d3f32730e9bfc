"""Stateful test of real nodes and stand-ins: faults are rules, guarantees are invariants."""

import asyncio
import time
import uuid
from collections import Counter

import aiohttp
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from crankseam.controllers.retention import RetentionController
from crankseam.errors import ApplyConflict, KeyValueError
from crankseam.identifiers import new_uuid7
from crankseam_standins.app import expected_answer
from crankseam_standins.faults import FaultOrder
from tests.support.harness import Cluster, Platform, eventually

NODES = 3
REAL_TIME_NS = time.time_ns
BODY = b"slot"


def new_key() -> str:
    """Return an idempotency key dated by the caller's clock, which does not step."""
    stepped_clock, time.time_ns = time.time_ns, REAL_TIME_NS
    try:
        return new_uuid7()
    finally:
        time.time_ns = stepped_clock


class NodeMachine(RuleBasedStateMachine):
    """Three nodes in three zones, three app servers, one key-value service."""

    @initialize()
    def begin(self):
        self.loop = asyncio.new_event_loop()
        self.outcomes_by_key: dict[str, list[tuple[str, str]]] = {}
        self.wrong_answers: list[str] = []
        self.highest_revisions: Counter[str] = Counter()
        self.accepted = 1
        self.run(self._begin())

    async def _begin(self):
        self.platform = Platform()
        await self.platform.start()
        self.cluster = Cluster(self.platform)
        await self.platform.apply(self.platform.documents())
        for index in range(NODES):
            await self.cluster.start_node(index)
        await self.cluster.wait_ready()
        self.session = aiohttp.ClientSession()

    def run(self, work):
        return self.loop.run_until_complete(work)

    def teardown(self):
        time.time_ns = REAL_TIME_NS
        if not hasattr(self, "loop"):
            return

        async def end():
            await self.session.close()
            await self.cluster.stop()
            await self.platform.stop()

        self.run(end())
        self.loop.close()

    # --- load

    async def _book(self, key, node, request_id):
        headers = {
            "Idempotency-Key": key,
            "Request-Id": request_id,
            "Crankseam-Deadline-Ms": "1500",
        }
        url = f"{self.cluster.url(node)}/services/booking/bookings"
        try:
            async with self.session.post(url, data=BODY, headers=headers) as answer:
                content = await answer.read()
                if answer.content_type == "application/problem+json":
                    outcome = (await answer.json(content_type=None))["outcome"]
                else:
                    outcome = "answered"
                    if content.decode() != expected_answer(key, BODY):
                        self.wrong_answers.append(key)
        except aiohttp.ClientConnectorError:
            outcome = "no_connection"
        except aiohttp.ClientError:
            outcome = "broken"
        self.outcomes_by_key.setdefault(key, []).append((request_id, outcome))
        if outcome == "not_run":
            # The attempt must not have run by now; a later attempt with the same key may run.
            runs = [
                line
                for account in self.platform.accounts.values()
                for line in account.lines
                if line["request"] == request_id
            ]
            assert not runs, f"{key}: answered not_run, but this attempt ran"
            assert key not in self.platform.ran(), f"{key}: answered not_run after the request ran"

    @rule(count=st.integers(1, 5), spread=st.integers(0, 2))
    def book(self, count, spread):
        async def work():
            nodes = sorted(self.cluster.nodes)
            jobs = [
                self._book(new_key(), nodes[(n + spread) % len(nodes)], str(uuid.uuid4()))
                for n in range(count)
            ]
            await asyncio.gather(*jobs)

        self.run(work())

    @precondition(lambda self: self.outcomes_by_key)
    @rule(choice=st.integers(0, 1000), same_attempt=st.booleans(), everywhere=st.booleans())
    def repeat(self, choice, same_attempt, everywhere):
        async def work():
            keys = sorted(self.outcomes_by_key)
            key = keys[choice % len(keys)]
            request_id = self.outcomes_by_key[key][-1][0] if same_attempt else str(uuid.uuid4())
            nodes = sorted(self.cluster.nodes)
            chosen = nodes if everywhere else [nodes[choice % len(nodes)]]
            await asyncio.gather(*(self._book(key, node, request_id) for node in chosen))

        self.run(work())

    # --- faults

    @rule(index=st.integers(0, NODES - 1))
    def kill_and_restart(self, index):
        async def work():
            if index not in self.cluster.nodes:
                return
            await self.cluster.kill(index)
            await self._book(new_key(), sorted(self.cluster.nodes)[0], str(uuid.uuid4()))
            await self.cluster.start_node(index)
            # The new process must not serve a revision below `accepted`.
            self.highest_revisions[f"node-{index}"] = 0

        self.run(work())

    @rule(index=st.integers(0, NODES - 1))
    def planned_stop_and_restart(self, index):
        async def work():
            key, request_id = new_key(), str(uuid.uuid4())
            running = asyncio.create_task(self._book(key, index, request_id))
            await asyncio.sleep(0)
            await self.cluster.nodes.pop(index).stop_gracefully()
            await running
            assert self.outcomes_by_key[key][-1][1] != "broken", (
                "a planned stop broke a running request"
            )
            await self.cluster.start_node(index)

        self.run(work())

    @rule(seconds=st.sampled_from([0.0, 0.3, 1.0]))
    def key_value_down(self, seconds):
        self.platform.key_value.faults.down_until = 0.0
        if seconds:
            order = FaultOrder(down_seconds=seconds)
            self.platform.key_value.faults.down_until = self.loop.time() + order.down_seconds

    @rule(count=st.integers(1, 3))
    def lose_key_value_answers(self, count):
        self.platform.key_value.faults.lose_answers = count

    @rule()
    def lapse_leases(self):
        self.platform.key_value._on_fault_order(FaultOrder(lapse_leases=True))

    @rule(app=st.integers(0, 2), count=st.integers(1, 2))
    def lose_app_answers(self, app, count):
        self.platform.apps[f"app-{app}"].faults.lose_answers = count

    @rule(app=st.integers(0, 2), leaving=st.booleans())
    def leave(self, app, leaving):
        self.platform.apps[f"app-{app}"].faults.leaving = leaving and app != 0

    @rule(seconds=st.sampled_from([-7200, -30, 0, 30, 7200]))
    def step_the_nodes_clocks(self, seconds):
        """Step the wall clocks of all nodes but not of callers; sweep records by the new time."""
        time.time_ns = lambda: REAL_TIME_NS() + seconds * 10**9
        for node in self.cluster.nodes.values():
            RetentionController(node.agent).sweep()

    @rule(amounts=st.tuples(st.integers(1, 50), st.integers(51, 100)))
    def operators_race(self, amounts):
        async def apply(amount):
            try:
                pointer = await self.platform.apply(self.platform.documents(amount))
            except (ApplyConflict, KeyValueError):
                return
            self.accepted = max(self.accepted, pointer.revision)

        async def work():
            await asyncio.gather(*(apply(amount) for amount in amounts))

        self.run(work())

    @rule()
    def settle(self):
        """Once the platform is available again, every node serves the newest accepted revision."""

        async def work():
            self.platform.key_value.faults.down_until = 0.0
            self.platform.key_value.faults.lose_answers = 0
            await eventually(
                lambda: all(
                    node.is_ready() and node.agent.lease.snapshot.revision >= self.accepted
                    for node in self.cluster.nodes.values()
                ),
                "all nodes serve the accepted revision",
            )

        self.run(work())

    # --- guarantees

    @invariant()
    def promises_hold(self):
        if not hasattr(self, "loop"):
            return
        ran_twice = [key for key, count in Counter(self.platform.ran()).items() if count > 1]
        assert not ran_twice, f"ran twice: {ran_twice}"
        assert not self.wrong_answers
        for node in self.cluster.nodes.values():
            if node.is_ready():
                name = node.settings.name
                revision = node.agent.lease.snapshot.revision
                assert revision >= self.highest_revisions[name], f"{name} went back to {revision}"
                self.highest_revisions[name] = revision


NodeMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=14,
    # Each step takes seconds with real nodes, so a failing run is printed and not shrunk.
    phases=[Phase.explicit, Phase.generate],
)
TestNodeMachine = NodeMachine.TestCase
