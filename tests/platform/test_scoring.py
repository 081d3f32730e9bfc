"""Items whose text is scored by a request to another service before the items are listed."""

import asyncio
import base64

import msgspec
import pytest
from crankseam_platform_standins.sampler_server import SamplerServer

from tests.platform.deployment import HOST, ROUTES, Deployment, route
from tests.support.waiting import eventually

ROUTES_WITH_SCORING = [*ROUTES, route("r-score", "/score/", "safe", service="app", max_attempts=4)]


@pytest.fixture
async def deployment():
    async with Deployment() as running:
        for number in range(2):
            scorer = SamplerServer(f"a-{number}", service="app")
            running.samplers.append(scorer)
            await scorer.start()
            await running.put(f"servers/{scorer.instance}", scorer.entry())
        await running.configure(1, ROUTES_WITH_SCORING)
        yield running


def scorers(deployment):
    return [sampler for sampler in deployment.samplers if sampler.service == "app"]


def scoring_requests(deployment):
    return [request for scorer in scorers(deployment) for request in scorer.ran]


def scored_item(number=0, **changes):
    scorer = {
        "id": f"score-{number}",
        "hostname": HOST,
        "path": f"/score/{number}?x=%2F",
        "body": base64.b64encode(f"score {number}".encode()).decode(),
    } | changes
    return {
        "id": f"job1-{number}",
        "path": f"/job/{number}",
        "headers": {"Model": "m", "Token-Counts": "10,20"},
        "body": base64.b64encode(b"text").decode(),
        "tokens": 30,
        "group": "g1",
        "scorer": {name: value for name, value in scorer.items() if value is not None},
    }


async def submit(deployment, front, requests):
    return await deployment.submit(front, requests=requests)


async def test_a_result_carries_the_signature_of_the_answer_to_its_scoring_request(deployment):
    front = await deployment.start_front()
    requests = [scored_item(number) for number in range(3)]
    assert (await submit(deployment, front, requests))[0] == 202
    results = {one["id"]: one for one in await deployment.all_results(front)}
    for number in range(3):
        result = results[f"job1-{number}"]
        assert result["state"] == "completed" and result["text"].count("\n") == 4
        assert result["score"].endswith(f".score-{number}")
    assert sorted(request.id for request in scoring_requests(deployment)) == [
        "score-0",
        "score-1",
        "score-2",
    ]
    (request,) = [one for one in scoring_requests(deployment) if one.id == "score-1"]
    assert request.path == "/score/1?x=%2F" and request.body == b"score 1"
    assert request.headers["Host"] == HOST and request.headers["Expect-Instance"].startswith("a-")
    assert 0 < int(request.headers["Deadline-Ms"]) <= 3000


async def test_items_without_a_scoring_request_carry_no_score(deployment):
    front = await deployment.start_front()
    await deployment.submit(front)
    assert all("score" not in result for result in await deployment.all_results(front))
    assert not scoring_requests(deployment)


@pytest.mark.parametrize("fault", ["refuse", "wrong_id", "unframed_reset", "reset_before_answer"])
async def test_only_a_whole_answer_of_failure_counts(deployment, fault):
    front = await deployment.start_front()
    for scorer in scorers(deployment):
        setattr(scorer.faults, fault, 4)
    await submit(deployment, front, [scored_item()])
    (result,) = await deployment.all_results(front, count=1)
    assert result["state"] == "completed" and result["score"].endswith(".score-0")


async def test_an_item_whose_scoring_always_fails_is_lost_after_the_routes_attempts(deployment):
    front = await deployment.start_front()
    for scorer in scorers(deployment):
        scorer.faults.fail = 100
    await submit(deployment, front, [scored_item()])
    (result,) = await deployment.all_results(front, count=1)
    assert result["state"] == "lost" and "score" not in result
    left = sum(scorer.faults.fail for scorer in scorers(deployment))
    assert 200 - left == 4, (
        "max_attempts of the scoring route, which is higher than that of the job route"
    )


async def test_an_item_whose_scoring_fails_less_often_is_whole(deployment):
    front = await deployment.start_front()
    scorers(deployment)[0].faults.fail = 2
    scorers(deployment)[1].faults.fail = 1
    await submit(deployment, front, [scored_item()])
    (result,) = await deployment.all_results(front, count=1)
    assert result["state"] == "completed"


async def test_the_place_at_the_sampler_is_free_while_the_score_is_awaited(deployment):
    front = await deployment.start_front()
    for scorer in scorers(deployment):
        scorer.faults.delay = 1.0
    await submit(deployment, front, [scored_item()])
    await eventually(lambda: len(scoring_requests(deployment)) == 1)
    assert all(back_end.in_flight == 0 for back_end in front.registry.of_service("svc"))


async def test_without_a_route_the_score_waits_until_there_is_one(deployment):
    await deployment.configure(2, ROUTES)
    front = await deployment.start_front()
    await submit(deployment, front, [scored_item()])
    await eventually(lambda: any(sampler.ran for sampler in deployment.samplers))
    await deployment.configure(3, ROUTES_WITH_SCORING)
    (result,) = await deployment.all_results(front, count=1)
    assert result["state"] == "completed"


def record_calls(front):
    """Return a list that receives the id of each request that a front starts to send."""
    called_ids = []
    open_call = front.samplers.open

    async def open_and_record(back_end, method, target, request_headers, *more):
        called_ids.append(request_headers["Request-Id"])
        return await open_call(back_end, method, target, request_headers, *more)

    front.samplers.open = open_and_record
    return called_ids


def running_job_tasks(job_id):
    return [task for task in asyncio.all_tasks() if task.get_name() == f"job {job_id}"]


async def test_nothing_is_called_for_a_job_that_ended(deployment):
    """A call in progress at that time is cancelled, but it may still arrive at the back end."""
    front = await deployment.start_front()
    called_ids = record_calls(front)
    for scorer in scorers(deployment):
        scorer.faults.refuse = 10_000
    await submit(deployment, front, [scored_item()])
    await eventually(lambda: any(one.faults.refuse < 10_000 for one in scorers(deployment)))
    assert called_ids.count("score-0") and running_job_tasks("job1")
    assert (await deployment.ask(front, "/v1/lots/job1", method="DELETE"))[0] == 200
    called_ids_before = list(called_ids)
    await eventually(lambda: not running_job_tasks("job1"), "the end of the job's tasks")
    await asyncio.sleep(0.5)
    assert called_ids == called_ids_before
    arrived = sum(10_000 - one.faults.refuse for one in scorers(deployment))
    assert arrived <= called_ids_before.count("score-0")


async def test_who_takes_a_job_over_scores_the_text_that_is_whole(deployment):
    first = await deployment.start_front("front-1")
    for scorer in scorers(deployment):
        scorer.faults.refuse = 10_000
    assert (await submit(deployment, first, [scored_item()]))[0] == 202
    kept = "crankseam/job/job1/progress"

    async def complete_text_is_stored():
        entry = await deployment.store.get(kept)
        return entry is not None and b"job1-0.5" in entry.value

    async with asyncio.timeout(10):
        while not await complete_text_is_stored():
            await asyncio.sleep(0.02)
    second = await deployment.start_front("front-2")
    await first.jobs.stop()
    for scorer in scorers(deployment):
        scorer.faults.refuse = 0
    (result,) = await deployment.all_results(second, count=1)
    assert result["state"] == "completed" and result["score"].endswith(".score-0")
    generations = [request for sampler in deployment.samplers[:2] for request in sampler.ran]
    assert len(generations) == 1, "the text is not generated again"


@pytest.mark.parametrize(
    ("wrong", "field"),
    [
        ({"id": None}, "id"),
        ({"path": 7}, "path"),
        ({"path": "no-slash"}, "path"),
        ({"hostname": None}, "hostname"),
        ({"body": "***"}, "body"),
    ],
)
async def test_a_malformed_scoring_request_is_refused_by_item_and_field(deployment, wrong, field):
    front = await deployment.start_front()
    requests = [scored_item(0), scored_item(1, **wrong)]
    status, _, body = await submit(deployment, front, requests)
    detail = msgspec.json.decode(body)["detail"]
    assert status == 400 and "job1-1" in detail and field in detail
    assert not any(sampler.ran for sampler in deployment.samplers)
