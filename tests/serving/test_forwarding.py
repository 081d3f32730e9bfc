"""The service to which a caller's request is sent where a route has several."""

from dataclasses import replace

import pytest

from crankseam import clocks
from crankseam.errors import Unavailable
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.forwarding import Forwarder
from crankseam.serving.messages import Answer, InboundRequest
from crankseam.serving.routes import RequestKind, Route, Share
from tests.quarantine.factories import make_guard

ROUTE = Route(
    "r", "h", "/", RequestKind.ONCE, (Share("a", 0.5), Share("b", 0.3), Share("c", 0.2)), 10.0, 0.2
)


class NamingClient:
    """Answers each request with the name of the service that got it."""

    async def send(self, back_end, request, deadline, relay):
        return Answer(200, (), back_end.record.service.encode())


def make_request():
    now = clocks.boottime_s()
    return InboundRequest("1", "POST", "h", "/", "/", (), b"", now, now + 5.0)


async def services_used(registry, count, route=ROUTE):
    forwarder = Forwarder(registry, NamingClient(), make_guard(registry), "z")
    answers = [await forwarder.forward(make_request(), route) for _ in range(count)]
    return [answer.body.decode() for answer in answers]


@pytest.fixture
def registry():
    registry = BackEndRegistry()
    for service in "abc":
        registry.update(BackEndRecord(f"{service}0", service, "127.0.0.1:1", "z", 4))
    return registry


async def test_a_part_without_back_ends_refuses_nothing_that_the_others_can_serve(registry):
    """Half of a route's callers were refused while the other parts had room."""
    registry.update(replace(registry.by_id("a0").record, leaving=True))
    used = await services_used(registry, 100)
    assert used.count("b") == 60 and used.count("c") == 40, "by the weights of those that are left"


async def test_all_parts_with_back_ends_get_their_shares(registry):
    used = await services_used(registry, 100)
    assert [used.count(service) for service in "abc"] == [50, 30, 20]


async def test_a_part_of_no_weight_does_not_stand_in(registry):
    registry.remove("a0")
    route = replace(ROUTE, shares=(Share("a", 1.0), Share("b", 0.0)))
    with pytest.raises(Unavailable):
        await services_used(registry, 1, route)
