"""A request that ends each sampler which begins it comes again and again, at any front."""

import asyncio
import base64
import itertools
import random

import pytest
from crankseam_platform_standins.reviving_sampler import RevivingSampler
from crankseam_platform_standins.sampler_server import SamplerServer

from crankseam.coordination.interface import Transaction
from tests.platform.deployment import ROUTES, Deployment, route
from tests.support.waiting import eventually

DEADLY = b"ends its sampler"
CONTACT_S = 1.0
"""What a front did not know this long after the third end, it may not act upon."""
MOST_LATE = 3
"""So many sends may come later than that."""
RETURN_S = 0.15
RETURNS = 30


class Crashes(Deployment):
    """A deployment whose samplers end by one body and come back under other ids."""

    def __init__(self, count=3, service="svc"):
        super().__init__(samplers=0)
        self.service = service
        self.revived = [
            RevivingSampler(f"r-{number}", self._make, self._announce, self._withdraw)
            for number in range(count)
        ]
        self._numbers = itertools.count()

    def _make(self, instance):
        sampler = SamplerServer(instance, service=self.service)
        sampler.faults.ended_by = DEADLY
        return sampler

    async def _announce(self, sampler):
        await self.put(f"servers/{sampler.instance}", sampler.entry())

    async def _withdraw(self, sampler):
        await self.store.commit(Transaction(removals=[f"servers/{sampler.instance}"]))

    async def __aenter__(self):
        await super().__aenter__()
        for revived in self.revived:
            await revived.start()
        return self

    async def __aexit__(self, *_):
        await super().__aexit__(*_)
        for revived in self.revived:
            await revived.stop()

    def deadly_runs(self):
        """Monotonic times at which a sampler began to run the deadly body."""
        samplers = [one for revived in self.revived for one in revived.incarnations]
        return sorted(seen.at for one in samplers for seen in one.ran if DEADLY in seen.body)

    def late_runs(self):
        """Those later than the contact time after the third end."""
        ends = sorted(at for revived in self.revived for at in revived.ended_at)
        if len(ends) < 3:
            return []
        return [at for at in self.deadly_runs() if at > ends[2] + CONTACT_S]

    async def send_deadly(self, front, path="/safe/x"):
        """One return of the request, under an id of its own."""
        return await self.ask(front, path, DEADLY, request_id=f"deadly-{next(self._numbers)}")

    async def return_often(self, path="/safe/x", returns=RETURNS):
        """Bring the request again and again, each time at some front."""
        draw = random.Random(7)
        answers = []
        for _ in range(returns):
            answers.append(await self.send_deadly(draw.choice(self.fronts), path))
            await asyncio.sleep(RETURN_S)
        return answers


@pytest.fixture
async def crashes():
    async with Crashes() as running:
        await running.configure()
        for number in range(4):
            await running.start_front(f"front-{number}")
        await eventually(
            lambda: all(len(front.presence.peers()) == 3 for front in running.fronts), "peers"
        )
        yield running


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
async def test_a_request_that_ended_three_samplers_is_hardly_sent_again(crashes, path):
    await crashes.return_often(path)
    assert len(crashes.late_runs()) <= MOST_LATE


async def test_an_item_that_ended_three_samplers_is_hardly_sent_again(crashes):
    body = base64.b64encode(DEADLY).decode()
    deadly = {"id": "deadly", "path": "/job/9", "headers": {"Model": "m"}, "body": body}
    healthy = [
        {"id": f"h{number}", "path": f"/job/{number}", "headers": {"Model": "m"}, "body": ""}
        for number in range(6)
    ]
    await crashes.submit(crashes.fronts[0], requests=[deadly, *healthy])
    listed = await crashes.all_results(crashes.fronts[1], count=len(healthy))
    assert {result["id"] for result in listed} == {item["id"] for item in healthy}
    await asyncio.sleep(CONTACT_S + RETURNS * RETURN_S)
    assert len(crashes.late_runs()) <= MOST_LATE


async def test_a_scoring_request_that_ended_three_servers_is_hardly_sent_again():
    scorer = {
        "id": "score-1",
        "hostname": "app.example",
        "path": "/score/1",
        "body": base64.b64encode(DEADLY).decode(),
    }
    async with Crashes(service="scores") as running:
        running.samplers.append(SamplerServer("i-0"))
        await running.samplers[0].start()
        await running.put("servers/i-0", running.samplers[0].entry())
        await running.configure(routes=[*ROUTES, route("r-score", "/score/", "safe", "scores")])
        for number in range(2):
            await running.start_front(f"front-{number}")
        item = {"id": "i1", "path": "/job/1", "headers": {"Model": "m"}, "scorer": scorer}
        await running.submit(running.fronts[0], requests=[item | {"body": ""}])
        await eventually(lambda: len(running.deadly_runs()) >= 2, "the scoring request is sent")
        await asyncio.sleep(CONTACT_S + RETURNS * RETURN_S)
        assert len(running.late_runs()) <= MOST_LATE
