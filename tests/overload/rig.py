"""A gate on a virtual clock, with back ends, requests and a switch for contention."""

import asyncio
import logging
import random

from crankseam.overload.gate import OverloadGate
from crankseam.overload.messages import GateClocks, GateRequest
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.fair_order import ArrivalOrder
from crankseam.serving.messages import InboundRequest
from crankseam.serving.routes import RequestKind, Route, Share
from tests.support.virtual_clock import VirtualClockLoop

SERVICE = "svc"
TARGET_S = 1.0
"""Target latency of the route, which is the assumed duration until a request was answered."""
ROUTE = Route("r", "h", "/", RequestKind.REPEATABLE, (Share(SERVICE, 1.0),), 60.0, TARGET_S, 3)


class Contended:
    """Contention that tests switch."""

    def __init__(self, contended=True):
        self.contended = contended

    def is_contended(self, service):
        return self.contended


class LoggedEvents(logging.Handler):
    """Collects the log events of the package."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def named(self, event):
        return [record for record in self.records if record.getMessage() == event]

    def __enter__(self):
        self._logger = logging.getLogger("crankseam.overload")
        self._level = self._logger.level
        self._logger.setLevel(logging.INFO)
        self._logger.addHandler(self)
        return self

    def __exit__(self, *_):
        self._logger.removeHandler(self)
        self._logger.setLevel(self._level)


ARRIVAL_ORDER = ArrivalOrder()


class Rig:
    """A gate with some back ends; all times are in virtual seconds since its start."""

    def __init__(self, back_ends=1, slots=2, order=None, contention=None):
        self.loop = asyncio.get_running_loop()
        self.suspended_s = 0.0
        self.registry = BackEndRegistry()
        self.slots = slots
        for number in range(back_ends):
            self.add_back_end(f"b{number}")
        clocks = GateClocks(self.boottime_s, self.loop.time)
        self.gate = OverloadGate(
            self.registry,
            contention or Contended(),
            lambda _service, _priority: order or ARRIVAL_ORDER,
            clocks,
            random.Random(1),
        )

    def boottime_s(self):
        return self.loop.time() + self.suspended_s

    def add_back_end(self, name, slots=None, **more):
        record = BackEndRecord(name, SERVICE, "127.0.0.1:1", "z", slots or self.slots, **more)
        self.registry.update(record, is_initial_read=True)

    def request(self, name="q", left_s=30.0, tenant="", priority=None, body=b""):
        now = self.boottime_s()
        deadline = now + left_s
        inbound = InboundRequest(
            name, "POST", "h", "/", "/", (), body, now, deadline, tenant, priority
        )
        return GateRequest(inbound, ROUTE, SERVICE, deadline)

    def enter(self, name="q", **more):
        return asyncio.create_task(self.gate.enter(self.request(name, **more)))

    @property
    def state(self):
        return self.gate._states[SERVICE]

    async def run(self, name="q", duration_s=1.0, **more):
        """Pass the gate, run for some time and return the time at which the request began."""
        permit = await self.gate.enter(self.request(name, **more))
        began_at = self.loop.time()
        try:
            await asyncio.sleep(duration_s)
            permit.record_answer()
        finally:
            permit.release()
        return began_at


async def settle():
    """Let all callbacks that are ready run."""
    for _ in range(5):
        await asyncio.sleep(0)


def virtual(test):
    """Run an async test on a virtual clock."""

    def run_test():
        with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
            runner.run(test())

    run_test.__name__, run_test.__doc__ = test.__name__, test.__doc__
    return run_test
