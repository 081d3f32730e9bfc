"""Which answers of back ends the gate learns from."""

import asyncio

from crankseam import clocks
from crankseam.overload.gate import OverloadGate
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.forwarding import Forwarder
from crankseam.serving.messages import Answer, InboundRequest
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
