"""What the gate learns from answers, and requests that return to the line after rejections."""

import asyncio

import pytest

from crankseam import clocks
from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.errors import OutcomeUnknown, Unavailable
from crankseam.overload.gate import OverloadGate
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.forwarding import Forwarder
from crankseam.serving.messages import Answer, AttemptBroken, AttemptNotRun, InboundRequest
from crankseam.serving.retry import MAX_LINE_RETURNS, MAX_REJECTIONS
from tests.overload.rig import ROUTE, SERVICE, Contended
from tests.quarantine.factories import make_guard


class AnsweringClient:
    """Answers each request at once with the status that its id names."""

    async def send(self, back_end, request, deadline, relay):
        await asyncio.sleep(0.02 if request.id == "200" else 0.0)
        return Answer(int(request.id), (), b"")


def make_request(status):
    now = clocks.boottime_s()
    return InboundRequest(str(status), "POST", "h", "/", "/", (), b"", now, now + 5.0)


async def test_requests_that_back_ends_find_wrong_tell_nothing_about_the_duration():
    """They are answered at once, so that the usual duration would look like a queue."""
    registry = BackEndRegistry()
    registry.update(BackEndRecord("b", SERVICE, "127.0.0.1:1", "z", 4))
    gate = OverloadGate(registry, Contended())
    forwarder = Forwarder(registry, AnsweringClient(), make_guard(registry), "z", gate)
    for _ in range(10):
        await forwarder.forward(make_request(200), ROUTE)
    typical_s = gate._states[SERVICE].latencies.typical_s(ROUTE.name, 0.0)
    for _ in range(100):
        assert (await forwarder.forward(make_request(400), ROUTE)).status == 400
    assert gate._states[SERVICE].latencies.typical_s(ROUTE.name, 0.0) == typical_s >= 0.02


class FullClient:
    """Plays a script: "full", "broken", or a status once the script is over."""

    def __init__(self, *script):
        self.script = list(script)
        self.sent = 0

    async def send(self, back_end, request, deadline, relay):
        self.sent += 1
        await asyncio.sleep(0)
        outcome = self.script.pop(0) if self.script else "answered"
        if outcome == "full":
            raise AttemptNotRun("full", was_received=True)
        if outcome == "broken":
            raise AttemptBroken("broken")
        return Answer(200, (), b"")


def make_forwarder(client, contended=True, back_ends=1):
    registry = BackEndRegistry()
    for number in range(back_ends):
        registry.update(BackEndRecord(f"b{number}", SERVICE, "127.0.0.1:1", "z", 4))
    gate = OverloadGate(registry, Contended(contended))
    return Forwarder(registry, client, make_guard(registry), "z", gate), gate


async def test_a_request_with_time_left_returns_to_the_line_after_rejections():
    client = FullClient(*["full"] * (MAX_REJECTIONS + 1))
    forwarder, gate = make_forwarder(client)
    assert (await forwarder.forward(make_request(200), ROUTE)).status == 200
    assert client.sent == MAX_REJECTIONS + 2
    assert gate._states[SERVICE].running == gate.waiting_total() == 0


async def test_it_waits_while_others_run_and_leaves_with_its_caller():
    client = FullClient(*["full"] * MAX_REJECTIONS)
    forwarder, gate = make_forwarder(client)
    task = asyncio.create_task(forwarder.forward(make_request(200), ROUTE))
    await asyncio.sleep(0.03)
    gate._states[SERVICE].running += 3  # others that got a place meanwhile, and do not end
    async with asyncio.timeout(5.0):
        while not gate.waiting_total():
            await asyncio.sleep(0.005)
    assert client.sent == MAX_REJECTIONS
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert gate._states[SERVICE].running == 3 and gate.waiting_total() == 0


async def test_it_returns_only_a_few_times_and_is_then_told_that_it_did_not_run():
    client = FullClient(*["full"] * 1000)
    forwarder, gate = make_forwarder(client)
    with pytest.raises(Unavailable) as raised:
        await forwarder.forward(make_request(200), ROUTE)
    assert raised.value.outcome == OUTCOME_NOT_RUN
    assert client.sent == MAX_REJECTIONS * (1 + MAX_LINE_RETURNS)
    assert gate._states[SERVICE].running == 0


async def test_a_request_that_may_have_run_does_not_return_and_is_not_told_not_run():
    client = FullClient("broken", *["full"] * 1000)
    forwarder, gate = make_forwarder(client, back_ends=10)
    with pytest.raises(OutcomeUnknown) as raised:
        await forwarder.forward(make_request(200), ROUTE)
    assert raised.value.outcome == OUTCOME_UNKNOWN
    assert client.sent == 1 + MAX_REJECTIONS
    assert gate._states[SERVICE].running == 0


async def test_at_other_services_rejections_end_a_request_as_before():
    client = FullClient(*["full"] * 1000)
    forwarder, _ = make_forwarder(client, contended=False)
    with pytest.raises(Unavailable):
        await forwarder.forward(make_request(200), ROUTE)
    assert client.sent == MAX_REJECTIONS
