"""Factories of jobs, routes and samplers for tests."""

import asyncio

from crankseam.jobs.item_maker import ItemMaker
from crankseam.jobs.item_run import ItemRun, RunComponents
from crankseam.jobs.model import GeneratedEvent, ItemDefinition, JobDefinition, PartialText
from crankseam.jobs.scoring import ItemScorer
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.messages import AttemptBroken
from crankseam.serving.routes import RequestKind, Route, Share, TrafficSplitter
from tests.quarantine.factories import make_guard


def make_job(job_id="j1", items=3, min_version=0):
    definitions = [
        ItemDefinition(f"{job_id}-i{number}", "/p/x", {"A": "b"}, b"\x00\xff", 100, "g1")
        for number in range(items)
    ]
    return JobDefinition(job_id, "host", "/p/j", definitions, 1, "m", min_version, 1)


def make_route(single_version=False, max_attempts=3):
    return Route(
        "r",
        "host",
        "/p/",
        RequestKind.JOB,
        (Share("llm", 1.0),),
        10.0,
        0.4,
        max_attempts=max_attempts,
        resumable=True,
        single_version=single_version,
        item_timeout_s=60.0,
    )


def make_registry(count=2, version=1, slots=4):
    registry = BackEndRegistry()
    for number in range(count):
        registry.update(
            BackEndRecord(
                f"s{number}", "llm", f"127.0.0.1:{9000 + number}", "z", slots, False, {"m": version}
            )
        )
    return registry


class FixedUrgency:
    """Urgency of an item whose rank does not change."""

    def __init__(self, rank, level=None, wanted=True, priority=None):
        self._rank, self._level, self._wanted, self._priority = rank, level, wanted, priority

    def rank(self):
        return self._rank

    def level(self):
        return self._level

    def is_wanted(self):
        return self._wanted

    def request_priority(self):
        return self._priority


class ScriptedSamplers:
    """A generation client that plays scripts: each attempt consumes the next script.

    A script is a list of GeneratedEvents, numbers (seconds to sleep) and exceptions to raise.
    Without a script, an attempt generates events up to number `length` under `version`.
    """

    def __init__(self, length=4, version=1):
        self.length = length
        self.version = version
        self.scripts = []
        self.attempts = []
        self.hold = None
        """If set, an asyncio event for which each attempt without a script waits after event 2."""

    async def generate(self, back_end, job, item, after, limit, priority=None):
        self.attempts.append((back_end.record.id, item.id, after))
        if self.scripts:
            for step in self.scripts.pop(0):
                if isinstance(step, Exception):
                    raise step
                if isinstance(step, GeneratedEvent):
                    yield step
                else:
                    await asyncio.sleep(step)
            return
        for number in range(after + 1, self.length + 1):
            await asyncio.sleep(0)
            if self.hold is not None and number > 2:
                await self.hold.wait()
            yield GeneratedEvent(number, f"{item.id}.{number}", self.version)


class ScriptedScorers:
    """A scoring client that plays a script per call.

    A script is a signature to return, an exception to raise, or a float (seconds to sleep before
    a late answer).
    """

    def __init__(self):
        self.scripts = []
        self.calls = []
        """Ids of the back end and of the scoring request of each call."""

    async def score(self, back_end, request, deadline, priority=None):
        self.calls.append((back_end.record.id, request.id))
        step = self.scripts.pop(0) if self.scripts else f"stamp {len(self.calls)}"
        if isinstance(step, Exception):
            raise step
        if isinstance(step, float):
            await asyncio.sleep(step)
            return "late"
        return step


def make_maker(dispatcher, samplers, scorers=None, find_route=lambda job: make_route()):
    """An ItemMaker whose scoring requests go to the same service as its generations."""
    splitter = TrafficSplitter()
    guard = make_guard(make_registry())
    scorer = ItemScorer(
        dispatcher, scorers or ScriptedScorers(), lambda request: make_route(), splitter, guard
    )
    return ItemMaker(RunComponents(dispatcher, samplers, find_route, splitter, guard), scorer)


def make_run(dispatcher, samplers, route=None, kept=None, job=None, guard=None):
    """A run of a job's first item."""
    job = job or make_job()
    parts = RunComponents(
        dispatcher,
        samplers,
        lambda job: route or make_route(),
        TrafficSplitter(),
        guard or make_guard(make_registry()),
    )
    return ItemRun(job, job.items[0], FixedUrgency((0.0, 0.0)), parts, kept or PartialText())


def events(first, last, version=1):
    return [GeneratedEvent(number, f"e{number}", version) for number in range(first, last + 1)]


BROKEN = AttemptBroken("reset")
