import dataclasses

import pytest

from crankseam.serving.forwarding import request_identity
from crankseam.serving.messages import InboundRequest
from crankseam.serving.routes import RequestKind, Route

REQUEST = InboundRequest(
    id="r1",
    method="POST",
    host="app.example",
    path="/orders/new",
    target="/orders/new?x=1",
    headers=(("Request-Id", "r1"), ("Deadline-Ms", "2000")),
    body=b"body",
    received_at=1.0,
    deadline=3.0,
    tenant="clinics",
)
ROUTE = Route("orders", "app.example", "/", RequestKind.REPEATABLE, (), 1.0, 1.0)


def request_fingerprint(request):
    """Returns the fingerprint that the forwarder computes."""
    return request_identity(request, ROUTE).fingerprint


def test_what_changes_when_a_request_comes_again_is_no_part_of_it():
    again = dataclasses.replace(
        REQUEST,
        id="r2",
        headers=(("Request-Id", "r2"),),
        host="App.Example",
        received_at=9.0,
        deadline=11.0,
    )
    assert request_fingerprint(again) == request_fingerprint(REQUEST)


@pytest.mark.parametrize(
    "other",
    [
        {"tenant": "depots"},
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/orders/new?x=2"},
        {"body": b"other"},
        {"body": b""},
        {"tenant": "clinicsP", "method": "OST"},
    ],
)
def test_another_request_is_told_apart(other):
    assert request_fingerprint(dataclasses.replace(REQUEST, **other)) != request_fingerprint(
        REQUEST
    )
