import logging
import math

import msgspec
import pytest

from tests.platform.deployment import ROUTES, Deployment, configuration, route
from tests.support.waiting import eventually

KEY_A, KEY_A2, KEY_B = "key-of-a-1", "key-of-a-2", "key-of-b-1"
TENANTS = [
    {"name": "ten-a", "api_keys": [KEY_A, KEY_A2], "priority": 0},
    {"name": "ten-b", "api_keys": [KEY_B]},
]


@pytest.fixture
async def deployment():
    async with Deployment() as running:
        yield running


async def configure(deployment, version=1, tenants=TENANTS, routes=ROUTES):
    document = configuration(version, routes) | {"tenants": tenants}
    await deployment.put("op/config", msgspec.json.encode(document))


def bearer(key):
    return {"Authorization": f"Bearer {key}"}


async def test_the_tenant_is_set_and_the_key_goes_no_further(deployment):
    await configure(deployment)
    front = await deployment.start_front()
    status, _, _ = await deployment.ask(
        front, "/safe/x", tenant="ten-b", TENANT="other", **bearer(KEY_A)
    )
    assert status == 200
    (request,) = [one for sampler in deployment.samplers for one in sampler.ran]
    assert [value for name, value in request.headers.items() if name.lower() == "tenant"] == [
        "ten-a"
    ]
    assert "Authorization" not in request.headers


@pytest.mark.parametrize(
    "authorization",
    [
        {},
        bearer("unknown"),
        bearer(""),
        bearer("x" * 4096),
        {"Authorization": f"Basic {KEY_A}"},
        {"Authorization": KEY_A},
    ],
)
@pytest.mark.parametrize(
    ("method", "path"),
    [("POST", "/safe/x"), ("POST", "/once/x"), ("POST", "/job/x"), ("GET", "/v1/lots/job1")],
)
async def test_without_a_known_key_nothing_is_read_or_run(deployment, authorization, method, path):
    await configure(deployment)
    front = await deployment.start_front()
    status, _, _ = await deployment.ask(front, path, b"{}", method=method, **authorization)
    assert status == 401
    assert not any(sampler.ran for sampler in deployment.samplers)


async def test_two_authorization_headers_are_no_key(deployment):
    await configure(deployment)
    front = await deployment.start_front()
    headers = [("Host", "app.example"), ("Request-Id", "q"), ("Deadline-Ms", "1000")]
    headers += [("Authorization", f"Bearer {KEY_A}"), ("Authorization", f"Bearer {KEY_B}")]
    async with deployment.session.post(deployment.url(front, "/safe/x"), headers=headers) as answer:
        assert answer.status == 401


async def test_before_any_configuration_a_key_is_neither_known_nor_unknown(deployment):
    front = await deployment.start_front(wait_ready=False)
    assert (await deployment.ask(front, "/safe/x", **bearer(KEY_A)))[0] == 503


async def test_a_public_route_needs_no_key(deployment):
    await configure(deployment, routes=[route("open", "/open/", "safe", public=True)])
    front = await deployment.start_front()
    assert (await deployment.ask(front, "/open/x", Tenant="forged"))[0] == 200
    (request,) = [one for sampler in deployment.samplers for one in sampler.ran]
    assert "Tenant" not in request.headers


async def test_a_key_that_goes_is_refused_on_kept_connections_and_a_new_one_serves(deployment):
    await configure(deployment)
    front = await deployment.start_front()
    assert (await deployment.ask(front, "/safe/x", request_id="q1", **bearer(KEY_A)))[0] == 200
    await configure(deployment, 2, [{"name": "ten-a", "api_keys": ["key-of-a-3"]}])
    await eventually(lambda: front.configuration.version == 2)
    assert (await deployment.ask(front, "/safe/x", request_id="q2", **bearer(KEY_A)))[0] == 401
    assert (await deployment.ask(front, "/safe/x", request_id="q3", **bearer("key-of-a-3")))[
        0
    ] == 200


async def test_a_configuration_whose_tenants_are_malformed_changes_nothing(deployment):
    await configure(deployment)
    front = await deployment.start_front()
    shared = [{"name": "x", "api_keys": ["same"]}, {"name": "y", "api_keys": ["same"]}]
    for version, tenants in enumerate(
        [shared, [{"name": "x"}], [{"api_keys": ["k"]}], [{"name": "a b", "api_keys": ["k"]}], 7], 2
    ):
        await configure(deployment, version, tenants)
    await configure(deployment, 9, [*TENANTS, {"name": "ten-c", "api_keys": ["kc"]}])
    await eventually(lambda: front.configuration.version == 9)
    assert (await deployment.ask(front, "/safe/x", **bearer("same")))[0] == 401
    assert (await deployment.ask(front, "/safe/x", **bearer("kc")))[0] == 200


async def test_a_job_shows_itself_to_its_tenant_only_and_outlives_a_key(deployment):
    await configure(deployment)
    first = await deployment.start_front("front-1")
    second = await deployment.start_front("front-2")
    deployment.session.headers["Authorization"] = f"Bearer {KEY_A}"
    status, _, _ = await deployment.submit(first)
    assert status == 202
    listed = await deployment.all_results(second)
    assert [one["state"] for one in listed] == ["completed"] * 3
    items = [one for sampler in deployment.samplers for one in sampler.ran]
    assert {one.headers["Tenant"] for one in items} == {"ten-a"}
    assert not any("Authorization" in one.headers for one in items)

    deployment.session.headers["Authorization"] = f"Bearer {KEY_B}"
    for front in (first, second):
        assert (await deployment.ask(front, "/v1/lots/job1", method="GET"))[0] == 404
        item_path = "/v1/items/job1?id=job1-0"
        assert (await deployment.ask(front, item_path, method="GET"))[0] == 404
        assert (await deployment.ask(front, "/v1/lots/job1", method="DELETE"))[0] == 404
        assert (await deployment.submit(front))[0] == 400

    await configure(deployment, 2, [{"name": "ten-a", "api_keys": [KEY_A2]}])
    await eventually(lambda: second.configuration.version == 2)
    deployment.session.headers["Authorization"] = f"Bearer {KEY_A2}"
    assert (await deployment.results(second))[0] == 200
    assert (await deployment.ask(second, "/v1/lots/job1", method="DELETE"))[0] == 200
    assert (await deployment.ask(first, "/v1/lots/job1", method="DELETE"))[0] == 200
    deployment.session.headers["Authorization"] = f"Bearer {KEY_B}"
    await eventually(lambda: "crankseam/state/ended/job1" in first.jobs.state.entries)
    assert (await deployment.ask(first, "/v1/lots/job1", method="DELETE"))[0] == 401


async def test_no_key_stands_in_a_log_line_a_metric_or_an_answer(deployment, caplog):
    caplog.set_level(logging.DEBUG)
    await configure(deployment)
    front = await deployment.start_front()
    answers = []
    for key in (KEY_A, KEY_B, "unknown-key"):
        answers.append(await deployment.ask(front, "/safe/x", **bearer(key)))
    bad = [{"name": "x", "api_keys": [KEY_A]}, {"name": "y", "api_keys": [KEY_A]}]
    await configure(deployment, 2, bad)
    await configure(deployment, 3)
    await eventually(lambda: front.configuration.version == 3)
    outputs = []
    outputs += [str(record.__dict__) for record in caplog.records]
    outputs.append(front.metrics.render().decode())
    outputs += [str((dict(headers), body)) for _, headers, body in answers]
    for key in (KEY_A, KEY_B, "unknown-key"):
        assert not any(key in text for text in outputs)


async def test_open_items_count_by_tenant_until_the_job_ends_and_a_departure_is_told(
    deployment, caplog
):
    """A process that does not run the job knows of it too, from the keys of open jobs."""
    caplog.set_level(logging.INFO)
    await configure(deployment)
    front, other = await deployment.start_front(), await deployment.start_front("front-2")
    assert front.item_fairness.is_active()
    deployment.session.headers["Authorization"] = f"Bearer {KEY_A}"
    assert (await deployment.submit(front))[0] == 202
    for one in (front, other):
        await eventually(lambda one=one: one.open_work.total_items("ten-a") == 3)
    await configure(deployment, 2, TENANTS[1:])
    await eventually(lambda: front.in_force.version() == other.in_force.version() == 2)
    freed = [record for record in caplog.records if record.msg == "tenant_share_freed"]
    assert [(line.tenant, line.version, line.open_items) for line in freed] == [("ten-a", 2, 3)] * 2
    assert front.item_fairness.start_of("ten-a", "m") == math.inf
    await configure(deployment, 3)
    await eventually(lambda: front.in_force.version() == 3)
    await deployment.ask(front, "/v1/lots/job1", method="DELETE")
    for one in (front, other):
        await eventually(lambda one=one: one.open_work.total_items("ten-a") == 0)


async def test_without_tenants_no_shares_are_in_effect(deployment):
    await deployment.configure()
    front = await deployment.start_front()
    assert not front.item_fairness.is_active()
