"""An answer whose status is none of HTTP's is no answer, and is never passed on.

Guards against a sampler in trouble whose answer with status 000 a client got as an answer (MIXED).
"""

import asyncio

import pytest

from tests.platform.deployment import ROUTES, Deployment, route
from tests.platform.test_late_answers import ScriptedSampler
from tests.support.waiting import eventually

NO_STATUSES = ["000", "0", "", "020", "099", "20", "2 00", "600", "999", "1000", "-200", "abc"]
INTERIM_STATUSES = ["100", "101", "103", "199"]
STATUSES = ["200", "204", "299", "304", "404", "418", "499", "500", "599"]


def answer(status, request_id, reason=" X", body=b"odd"):
    lines = [
        f"HTTP/1.1 {status}{reason}",
        f"Request-Id: {request_id}",
        f"Response-Stamp: odd.{request_id}",
    ]
    if status not in ("204", "304"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + (body if status not in ("204", "304") else b"")


class Odd(Deployment):
    """A deployment whose only server answers all requests with one status."""

    def __init__(self, status, reason=" X", service="svc"):
        super().__init__(samplers=0)
        self.odd = ScriptedSampler("odd", lambda sampler, request_id, path: self.reply(request_id))
        self.odd.service = service
        self.status, self.reason = status, reason

    def reply(self, request_id):
        return answer(self.status, request_id, self.reason)

    async def __aenter__(self):
        await super().__aenter__()
        await self.odd.__aenter__()
        await self.put("servers/odd", self.odd.entry())
        return self

    async def __aexit__(self, *_):
        await super().__aexit__(*_)
        await self.odd.__aexit__()


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/odd/x"])
@pytest.mark.parametrize("status", [*NO_STATUSES, *INTERIM_STATUSES])
@pytest.mark.parametrize("reason", [" X", ""])
async def test_a_status_that_is_none_is_never_passed_on(path, status, reason):
    async with Odd(status, reason) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        got, headers, body = await deployment.ask(front, path, b"x", Deadline_Ms="600")
        assert got in (502, 504), "the request may have run"
        assert "Response-Stamp" not in headers and body != b"odd"


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
@pytest.mark.parametrize("status", STATUSES)
async def test_every_status_of_an_answer_is_passed_on(path, status):
    async with Odd(status) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        got, headers, _ = await deployment.ask(front, path, b"x")
        assert (got, headers["Response-Stamp"]) == (int(status), "odd.req-1")


@pytest.mark.parametrize("status", ["000", "099", "600", "999", "101"])
async def test_an_item_is_not_done_by_a_status_that_is_none(status):
    async with Odd(status) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        await deployment.submit(front, items=1, min_version=0)
        await eventually(lambda: deployment.odd.requests >= 3, "it is sent again")
        assert (await deployment.results(front, wait=0))[1]["results"] == []


@pytest.mark.parametrize("status", ["000", "099", "600", "999", "101"])
async def test_a_score_is_not_given_by_a_status_that_is_none(status):
    scorer = {"id": "score-1", "hostname": "app.example", "path": "/score/1", "body": ""}
    item = {"id": "i1", "path": "/job/1", "headers": {"Model": "m"}, "body": "", "scorer": scorer}
    good = Deployment(samplers=1)
    async with (
        good,
        ScriptedSampler(
            "odd", lambda sampler, request_id, path: answer(status, request_id), "scores"
        ) as odd,
    ):
        await good.put("servers/odd", odd.entry())
        await good.configure(routes=[*ROUTES, route("r-score", "/score/", "safe", "scores")])
        front = await good.start_front()
        await good.submit(front, requests=[item])
        await eventually(lambda: odd.requests >= 2, "the score is asked for again")
        await asyncio.sleep(0.05)
        assert (await good.results(front, wait=0))[1]["results"] == []
