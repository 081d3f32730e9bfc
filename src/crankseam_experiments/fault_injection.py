"""Injects faults into a running fleet; the seed determines their choice and timing.

The injector tracks the faults in progress and reserves the processes that node, kill and leave
faults act on, so that no two such faults affect the same process at a time. The method `_NAME`
implements the fault kind NAME of experiment files. Planned stops, leaving back ends and accepted
configuration changes are added to the run's evidence for the auditor.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter

from crankseam.clients.key_value import KeyValueClient
from crankseam.config.changes import apply_plan, make_plan
from crankseam.config.kinds import Limit, SamplerPool, Service
from crankseam.errors import ApplyConflict, KeyValueError
from crankseam_experiments.auditor import Window
from crankseam_experiments.experiment_run import ExperimentRun

RECOVERY_TIMEOUT_S = 40.0
"""Maximum wait for a node to become ready; recorded as its recovery time on a time-out."""
LEAVING_DURATION_S = 5.0
"""Seconds for which a back end reports that it is leaving; it must get no work after 2 s."""
ISOLATION_DURATION_S = 9.0
"""Seconds of isolation of a node; longer than the sum of `configuration_term` and `dead_after`."""


class FaultInjector:
    """Executes the fault plan of one run."""

    def __init__(self, run: ExperimentRun) -> None:
        self._run = run
        self._fleet = run.fleet
        self._plan = run.spec.faults
        self._random = run.random
        self._pending_restarts: set[str] = set()
        self._reserved: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.injected: Counter[str] = Counter()
        self.recovery_seconds: list[float] = []

    def consume_restart(self, client: str) -> bool:
        """Return whether a fault killed this client and restarts it, and clear that mark."""
        if client in self._pending_restarts:
            self._pending_restarts.discard(client)
            return True
        return False

    async def run(self) -> None:
        """Inject all faults of the plan and wait until they have ended."""
        if self._plan is None or self._plan.count == 0:
            return
        await asyncio.sleep(self._plan.first_at)
        # Each kind occurs once, in random order, before kinds are drawn at random.
        order = list(self._plan.kinds)
        self._random.shuffle(order)
        while len(order) < self._plan.count:
            order.append(self._random.choice(self._plan.kinds))
        for kind in order[: self._plan.count]:
            print(f"fault: {kind}", file=sys.stderr)
            self.injected[kind] += 1
            task = asyncio.create_task(getattr(self, f"_{kind}")())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * self._plan.spacing)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def finish(self) -> None:
        """Cancel faults, restore links and resume paused nodes, so that the fleet can stop."""
        for task in list(self._tasks):
            task.cancel()
        if self._fleet.links is not None:
            self._fleet.links.restore_all()
        for node in self._fleet.nodes.values():
            node.signal(signal.SIGCONT)

    # --- selection of targets

    def _random_duration(self) -> float:
        assert self._plan is not None
        return self._plan.duration * self._random.uniform(0.3, 1.5)

    def _pick_node(self) -> str | None:
        """Choose a random node that no other fault has reserved; None if there is none."""
        free = [name for name in self._fleet.nodes if name not in self._reserved]
        return self._random.choice(free) if free else None

    def _back_end_address(self, name: str) -> str:
        for document in self._fleet.documents:
            if isinstance(document, Service):
                for back_end in document.back_ends:
                    if back_end.name == name:
                        return back_end.address
            if isinstance(document, SamplerPool):
                for sampler in document.samplers:
                    if sampler.name == name:
                        return sampler.address
        raise KeyError(name)

    def _available_samplers(self) -> list[str]:
        pool = self._run.document(SamplerPool)
        return [sampler.name for sampler in pool.samplers if sampler.name not in self._reserved]

    def _available_apps(self) -> list[str]:
        service = self._run.document(Service)
        return [item.name for item in service.back_ends if item.name not in self._reserved]

    async def _measure_recovery(self, name: str) -> None:
        """Record the time until a restarted or resumed node is ready for work."""
        started = time.monotonic()
        address = self._fleet.node_addresses[name]
        while time.monotonic() - started < RECOVERY_TIMEOUT_S:
            if await self._fleet.is_ready(address):
                self.recovery_seconds.append(time.monotonic() - started)
                return
            await asyncio.sleep(0.1)
        self.recovery_seconds.append(RECOVERY_TIMEOUT_S)

    # --- nodes

    async def _kill_node(self) -> None:
        name = self._pick_node()
        if name is None:
            return
        self._reserved.add(name)
        node = self._fleet.nodes[name]
        await node.kill()
        await asyncio.sleep(self._random_duration())
        await node.start()
        await self._measure_recovery(name)
        self._reserved.discard(name)

    async def _pause_node(self) -> None:
        name = self._pick_node()
        if name is None:
            return
        self._reserved.add(name)
        node = self._fleet.nodes[name]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random_duration() * 2)
        node.signal(signal.SIGCONT)
        await self._measure_recovery(name)
        self._reserved.discard(name)

    async def _planned_stop(self) -> None:
        name = self._pick_node()
        if name is None:
            return
        self._reserved.add(name)
        node = self._fleet.nodes[name]
        begin = time.time()
        code = await node.stop()
        window = Window(self._fleet.node_addresses[name], begin, time.time())
        self._run.evidence.planned_stops.append(window)
        if code != 0:
            print(f"{name} stopped with {code}", file=sys.stderr)
        await node.start()
        await self._measure_recovery(name)
        self._reserved.discard(name)

    # --- links

    async def _cut_temporarily(self, pairs: list[tuple[str, str]]) -> None:
        links = self._fleet.links
        assert links is not None
        for source, target in pairs:
            links.set_cut(source, target, True)
        await asyncio.sleep(self._random_duration())
        for source, target in pairs:
            links.set_cut(source, target, False)

    def _pick_pair(self) -> tuple[str, str]:
        first, second = self._random.sample(list(self._fleet.nodes), 2)
        return first, second

    async def _cut_link(self) -> None:
        first, second = self._pick_pair()
        await self._cut_temporarily([(first, second), (second, first)])

    async def _cut_one_way(self) -> None:
        await self._cut_temporarily([self._pick_pair()])

    async def _cut_zone(self) -> None:
        zone = self._random.choice(self._run.spec.zones)
        inside = [n for n, z in self._fleet.node_zones.items() if z == zone]
        outside = [n for n, z in self._fleet.node_zones.items() if z != zone]
        pairs = [(a, b) for a in inside for b in outside]
        await self._cut_temporarily(pairs + [(b, a) for a, b in pairs])

    async def _slow_link(self) -> None:
        links = self._fleet.links
        assert links is not None
        first, second = self._pick_pair()
        for source, target in ((first, second), (second, first)):
            links.set_delay(source, target, 0.2)
        await asyncio.sleep(self._random_duration())
        for source, target in ((first, second), (second, first)):
            links.set_delay(source, target, 0.0)

    # --- platform

    async def _key_value_down(self) -> None:
        duration = self._random_duration() * 2
        await self._fleet.request_fault(self._run.spec.platform.key_value, down_seconds=duration)
        await asyncio.sleep(duration)

    async def _key_value_slow(self) -> None:
        address = self._run.spec.platform.key_value
        await self._fleet.request_fault(address, delay=1.0)
        await asyncio.sleep(self._random_duration())
        await self._fleet.request_fault(address, delay=0.0)

    async def _lose_answers(self) -> None:
        await self._fleet.request_fault(self._run.spec.platform.key_value, lose_answers=2)
        await self._race_operators()

    async def _lapse_leases(self) -> None:
        await self._fleet.request_fault(self._run.spec.platform.key_value, lapse_leases=True)

    async def _race_operators(self) -> None:
        """Let two operators plan from the same revision and apply their plans concurrently."""
        key_values = [KeyValueClient([self._run.spec.platform.key_value]) for _ in range(2)]
        try:
            await asyncio.gather(
                *(self._change_limit(client, index) for index, client in enumerate(key_values))
            )
        finally:
            for client in key_values:
                await client.close()

    async def _change_limit(self, client: KeyValueClient, index: int) -> None:
        documents = list(self._fleet.documents)
        position = next(i for i, d in enumerate(documents) if isinstance(d, Limit))
        limit = documents[position]
        assert isinstance(limit, Limit)
        amount = 100 + self._random.randrange(1000)
        documents[position] = limit.model_copy(update={"max_in_flight": amount})
        try:
            plan = await make_plan(client, documents)
            pointer = await apply_plan(client, plan, f"operator-{index}")
            self._run.evidence.accepted.append((time.time(), pointer.revision))
        except (ApplyConflict, KeyValueError) as error:
            print(f"operator {index}: {type(error).__name__}", file=sys.stderr)

    async def _change_while_cut(self) -> None:
        """Isolate one node from all other nodes and change the configuration meanwhile."""
        name = self._random.choice(list(self._fleet.nodes))
        others = [other for other in self._fleet.nodes if other != name]
        pairs = [(name, other) for other in others] + [(other, name) for other in others]
        links = self._fleet.links
        assert links is not None
        for source, target in pairs:
            links.set_cut(source, target, True)
        client = KeyValueClient([self._run.spec.platform.key_value])
        await self._change_limit(client, 0)
        await client.close()
        await asyncio.sleep(ISOLATION_DURATION_S)
        for source, target in pairs:
            links.set_cut(source, target, False)

    # --- back ends

    async def _restart_standin(self, name: str) -> None:
        self._reserved.add(name)
        standin = self._fleet.standins[name]
        await standin.kill()
        await asyncio.sleep(self._random_duration())
        await standin.start()
        await standin.wait_until_up(self._fleet.session)
        self._reserved.discard(name)

    async def _kill_sampler(self) -> None:
        if len(names := self._available_samplers()) > 2:
            await self._restart_standin(self._random.choice(names))

    async def _kill_app(self) -> None:
        if len(names := self._available_apps()) > 1:
            await self._restart_standin(self._random.choice(names))

    async def _lose_app_answers(self) -> None:
        if names := self._available_apps():
            address = self._back_end_address(self._random.choice(names))
            await self._fleet.request_fault(address, lose_answers=3)

    async def _leave(self, name: str) -> None:
        self._reserved.add(name)
        address = self._back_end_address(name)
        await self._fleet.request_fault(address, leaving=True)
        begin = time.time()
        await asyncio.sleep(LEAVING_DURATION_S)
        self._run.evidence.leaving.append(Window(name, begin, time.time()))
        await self._fleet.request_fault(address, leaving=False)
        self._reserved.discard(name)

    async def _leave_app(self) -> None:
        if len(names := self._available_apps()) > 1:
            await self._leave(self._random.choice(names))

    async def _leave_sampler(self) -> None:
        if len(names := self._available_samplers()) > 2:
            await self._leave(self._random.choice(names))

    async def _break_streams(self) -> None:
        if names := self._available_samplers():
            await self._fleet.request_fault(
                self._back_end_address(self._random.choice(names)), break_streams=8
            )

    async def _fail_loads(self) -> None:
        if names := self._available_samplers():
            address = self._back_end_address(self._random.choice(names))
            await self._fleet.request_fault(address, fail_loads=4)

    async def _kill_trainer(self) -> None:
        """Kill the trainer during a step and start it again; it resumes from its journal."""
        trainer = self._run.clients.get("trainer")
        if trainer is None or not trainer.is_running():
            return
        self._pending_restarts.add("trainer")
        trainer.signal(signal.SIGKILL)
        while trainer.is_running():
            await asyncio.sleep(0.05)
        await trainer.start()
