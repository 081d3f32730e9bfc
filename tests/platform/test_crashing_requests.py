"""A request that ends each sampler which begins it comes again and again, at any front."""

import asyncio
import base64
import itertools
import random

import aiohttp
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


async def known_to_all(crashes, ends=2):
    await eventually(
        lambda: all(
            any(len(one.record.ended) >= ends for _, one in front.quarantine.table)
            for front in crashes.fronts
        ),
        "all fronts know the request",
    )


async def hold(crashes, path="/safe/x"):
    """Bring it until every front holds it back."""
    while not any(front.quarantine.table.held_count() for front in crashes.fronts):
        await crashes.send_deadly(crashes.fronts[0], path)
        await asyncio.sleep(RETURN_S)
    await known_to_all(crashes)


async def test_who_brings_it_again_is_told_that_it_was_not_run_and_when_to_come_back(crashes):
    await hold(crashes)
    runs = len(crashes.deadly_runs())
    status, headers, body = await crashes.send_deadly(crashes.fronts[3])
    assert status == 503 and 0 < float(headers["Retry-After"]) <= 3.0
    assert b"request-held" in body and b'"not_run"' in body
    assert len(crashes.deadly_runs()) == runs


async def test_the_first_attempt_leaves_one_of_three_samplers(crashes):
    status, _, _ = await crashes.send_deadly(crashes.fronts[0])
    assert status == 504, "it may have run"
    assert len(crashes.deadly_runs()) == 2
    status, _, body = await crashes.ask(crashes.fronts[1], "/safe/y", b"healthy")
    assert (status, body) == (200, b"echo:healthy")


async def test_fronts_that_start_after_all_were_killed_hold_it_back(crashes):
    await hold(crashes)
    for front in crashes.fronts:
        await front.supervisor.stop()
    runs = len(crashes.deadly_runs())
    front = await crashes.start_front("front-9")
    status, _, _ = await crashes.send_deadly(front)
    assert status == 503 and len(crashes.deadly_runs()) == runs


async def test_while_the_store_is_away_the_fronts_tell_each_other(crashes):
    crashes.store.faults.down = True
    await crashes.send_deadly(crashes.fronts[0])
    await known_to_all(crashes)
    runs = len(crashes.deadly_runs())
    for front in crashes.fronts:
        status, _, _ = await crashes.send_deadly(front)
        assert status == 503
    assert len(crashes.deadly_runs()) == runs == 2


async def test_a_stream_whose_sampler_ends_is_counted(crashes):
    for sampler in (one.incarnations[0] for one in crashes.revived):
        sampler.faults.ends_after, sampler.length = 0.2, 100
        sampler.faults.ends_beside = True
    for number in range(2):
        request = crashes.session.post(
            crashes.url(crashes.fronts[0], "/stream/x"),
            data=DEADLY,
            headers={"Host": "app.example", "Request-Id": f"s{number}", "Model": "m"},
        )
        with pytest.raises(aiohttp.ClientPayloadError):
            async with request as response:
                assert response.status == 200
                await response.read()
        await known_to_all(crashes, number + 1)
    assert (await crashes.send_deadly(crashes.fronts[1], "/stream/x"))[0] == 503


async def test_a_healthy_request_that_two_ends_broke_is_served_after_its_hold(crashes):
    """Its samplers end for another reason; it comes back to fronts that hold it back."""
    body = b"healthy"
    for sampler in (one.incarnations[0] for one in crashes.revived):
        sampler.faults.ended_by = body
    await crashes.ask(crashes.fronts[0], "/safe/x", body)
    await known_to_all(crashes)
    for revived in crashes.revived:
        for sampler in revived.incarnations:
            sampler.faults.ended_by = DEADLY

    async def is_served():
        return (await crashes.ask(crashes.fronts[1], "/safe/x", body))[0] == 200

    async with asyncio.timeout(10):
        while not await is_served():
            await asyncio.sleep(RETURN_S)
    await eventually(lambda: not any(len(front.quarantine.table) for front in crashes.fronts))


async def test_a_calm_day_costs_nothing(crashes):
    crashes.revived[0].incarnations[0].faults.reset_before_answer = 5
    for number in range(20):
        status, _, _ = await crashes.ask(
            crashes.fronts[number % 4], "/safe/x", request_id=f"calm-{number}"
        )
        assert status == 200
    assert not any(len(front.quarantine.table) for front in crashes.fronts)
    assert not [key for key in crashes.store.entries if "suspect" in key]
