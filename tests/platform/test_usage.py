import msgspec
import pytest
from aiohttp import web
from crankseam_platform.duty_calls import DutyClient
from crankseam_platform_standins.duty_server import DutyServer

from crankseam.coordination.duty import DutyFenced, DutyRefused, DutyUnanswered
from crankseam_standins.ports import free_port
from tests.platform.deployment import ROUTES, Deployment, configuration
from tests.support.waiting import eventually


@pytest.fixture
async def platform():
    server = DutyServer()
    runner = web.AppRunner(server.application, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    server.address = f"127.0.0.1:{runner.addresses[0][1]}"
    yield server
    await runner.cleanup()


@pytest.fixture
async def duty_client(platform):
    client = DutyClient(platform.address)
    await client.start()
    yield client
    await client.close()


async def test_a_report_says_its_window_counts_holder_and_token(platform, duty_client):
    await duty_client.report_usage(7, {"a": 2}, "front-1", 5)
    (call,) = platform.calls
    assert (call.holder, call.fence, call.body) == (
        "front-1",
        5,
        {"window": 7, "counts": {"a": 2}},
    )


async def test_each_way_a_report_fails_is_told_apart(platform, duty_client, monkeypatch):
    monkeypatch.setattr("crankseam_platform.duty_calls.CALL_TIMEOUT_S", 0.2)
    platform.faults.throttle = 1
    with pytest.raises(DutyRefused):
        await duty_client.report_usage(7, {}, "front-1", 5)
    await duty_client.report_usage(7, {}, "front-2", 6)
    with pytest.raises(DutyFenced):
        await duty_client.report_usage(7, {}, "front-1", 5)
    platform.faults.lose_answers = 1
    with pytest.raises(DutyUnanswered):
        await duty_client.report_usage(8, {}, "front-2", 6)
    unreachable = DutyClient(f"127.0.0.1:{free_port()}")
    await unreachable.start()
    with pytest.raises(DutyRefused):
        await unreachable.report_usage(7, {}, "front-1", 5)
    await unreachable.close()


async def test_what_was_asked_of_two_fronts_is_reported_by_one(platform):
    tenants = [{"name": "ten-a", "api_keys": ["ka"]}, {"name": "ten-b", "api_keys": ["kb"]}]
    async with Deployment(duty_address=platform.address) as deployment:
        document = configuration(1, ROUTES) | {"tenants": tenants}
        await deployment.put("op/config", msgspec.json.encode(document))
        fronts = [await deployment.start_front(f"front-{number}") for number in range(2)]
        for number in range(6):
            key = "ka" if number % 3 else "kb"
            status, _, _ = await deployment.ask(
                fronts[number % 2],
                "/safe/x",
                request_id=f"q{number}",
                Authorization=f"Bearer {key}",
            )
            assert status == 200
        await eventually(lambda: platform.reported() == {"ten-a": 4, "ten-b": 2})
    assert not platform.contradictions()
    assert len(platform.turns()) == 1
