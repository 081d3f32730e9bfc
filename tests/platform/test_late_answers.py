"""A late answer to another request is never taken for the answer to this one.

A sampler may send a second copy of an answer late, where the next answer on the connection is due;
the request id tells. Guards against a refusal (Not-Run) that was believed before its id was
compared: the request counted as not run, was sent to the next sampler, and ran twice.
"""

import asyncio
import logging

import msgspec
import pytest
from crankseam_platform import response_matching

from crankseam.serving.log_interval import LogInterval
from tests.platform.deployment import ROUTES, Deployment, route
from tests.support.waiting import eventually


def raw_answer(status, *lines, body=b""):
    head = [f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}"]
    return "\r\n".join((*head, "", "")).encode() + body


class ScriptedSampler:
    """A sampler whose `script` returns the bytes sent for a request, by its id and number.

    Closes the connection after an empty answer.
    """

    def __init__(self, instance, script, service="svc"):
        self.instance, self.script, self.service = instance, script, service
        self.ran, self.connections, self.requests = [], 0, 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    def entry(self, **more):
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 0,
        }
        return msgspec.json.encode(fields | more)

    def own(self, request_id, status=200, *lines, body=b"own"):
        if status == 200:
            self.ran.append(request_id)
        stamp = f"Response-Stamp: {self.instance}.{request_id}"
        return raw_answer(status, f"Request-Id: {request_id}", stamp, *lines, body=body)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = [line.partition(": ")[::2] for line in head.split("\r\n")[1:]]
                fields = {name.lower(): value for name, value in lines}
                await reader.readexactly(int(fields.get("content-length", "0")))
                self.requests += 1
                answer = self.script(self, fields.get("request-id"), head.split(" ")[1])
                for part in answer if isinstance(answer, list) else [answer]:
                    if not part:
                        return
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


REFUSED = "Not-Run: 1"


def late_then_own(late):
    """A script that sends a late answer before each own one."""
    return lambda sampler, request_id, _: [late, sampler.own(request_id)]


class OneSampler:
    """A front and one scripted sampler of the service `app`."""

    def __init__(self, script):
        self.sampler = ScriptedSampler("a-1", script, "app")
        self.deployment = Deployment(samplers=0)

    async def __aenter__(self):
        await self.sampler.__aenter__()
        await self.deployment.__aenter__()
        await self.deployment.put("servers/a-1", self.sampler.entry())
        routes = [
            route("r-once", "/once/", "unsafe", service="app", timeout_ms=1500),
            route("r-safe", "/safe/", "safe", service="app"),
        ]
        await self.deployment.configure(1, [*ROUTES[2:], *routes])
        self.front = await self.deployment.start_front()
        return self

    async def __aexit__(self, *exc):
        await self.deployment.__aexit__(*exc)
        await self.sampler.__aexit__(*exc)

    async def ask(self, path, request_id):
        status, headers, body = await self.deployment.ask(self.front, path, request_id=request_id)
        return status, headers.get("Response-Stamp"), body


LATE_ANSWERS = {
    "refusal": raw_answer(503, "Request-Id: other", REFUSED),
    "refusal_with_body": raw_answer(429, "Request-Id: other", REFUSED, body=b"x" * 70_000),
    "misdirected": raw_answer(421, "Request-Id: other", "Instance-Id: a-9"),
    "success": raw_answer(200, "Request-Id: other", "Response-Stamp: a-1.other", body=b"other"),
    "failure": raw_answer(500, "Request-Id: other", body=b"other"),
    "two": raw_answer(503, "Request-Id: other", REFUSED) * 2,
    "informational": b"HTTP/1.1 102 X\r\n\r\n" + raw_answer(503, "Request-Id: other", REFUSED),
}


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
@pytest.mark.parametrize("late", LATE_ANSWERS.values(), ids=LATE_ANSWERS)
async def test_the_own_answer_after_a_late_one_is_the_callers(late, path):
    """A late refusal made the request run twice at its only sampler, or be answered as not run."""
    async with OneSampler(late_then_own(late)) as running:
        for number in range(3):
            answered = await running.ask(path, f"q{number}")
            assert answered == (200, f"a-1.q{number}", b"own")
        assert running.sampler.ran == ["q0", "q1", "q2"]
        assert running.sampler.connections == 1, "the connection stays in use"


async def test_a_late_refusal_of_another_request_makes_no_unsafe_one_run_at_two_samplers():
    """The case of the review: the refusal of one order came again before the answer to the next."""
    async with Deployment(samplers=2) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        await eventually(lambda: front.registry.count() == 2, "both samplers are known")
        for number in range(8):
            for sampler in deployment.samplers:
                sampler.faults.refuse, sampler.faults.late_copies = 1, 1
            for name in ("refused", "following"):
                await deployment.ask(front, "/once/x", request_id=f"{name}-{number}")
                await asyncio.sleep(0.06)
        runs = [seen.id for sampler in deployment.samplers for seen in sampler.ran]
        assert len(runs) == len(set(runs))
        assert {f"following-{number}" for number in range(8)} <= set(runs)


async def test_a_late_copy_of_the_own_refusal_is_not_met_when_the_request_is_sent_again():
    """The copy bears the id of the request itself, which runs behind it: its id can't tell."""
    refused = set()

    def script(sampler, request_id, _):
        refusal = raw_answer(503, f"Request-Id: {request_id}", REFUSED)
        if request_id not in refused:
            refused.add(request_id)
            sampler.copies[sampler.connections] = refusal
            return refusal
        late = sampler.copies.pop(sampler.connections, b"")
        return [*([late] if late else []), sampler.own(request_id)]

    async with OneSampler(script) as running:
        running.sampler.copies = {}
        status, _, _ = await running.ask("/once/x", "q")
        await asyncio.sleep(0.1)  # a further send would have arrived by then
        assert (status, running.sampler.ran) == (200, ["q"])


async def test_without_the_own_answer_nothing_is_promised_and_the_request_runs_once():
    def script(sampler, request_id, _):
        sampler.ran.append(request_id)
        return raw_answer(503, "Request-Id: other", REFUSED)

    async with OneSampler(script) as running:
        status, _, _ = await running.ask("/once/x", "q")
        assert status in (502, 504) and running.sampler.ran == ["q"]


UNATTRIBUTED = {
    "refusal": raw_answer(503, REFUSED),
    "misdirected": raw_answer(421, "Instance-Id: a-9"),
    "success": raw_answer(200, body=b"other"),
    "late_and_unframed": b"HTTP/1.1 200 X\r\nRequest-Id: other\r\n\r\n",
}


@pytest.mark.parametrize("answer", UNATTRIBUTED.values(), ids=UNATTRIBUTED)
async def test_an_answer_that_names_no_request_is_not_believed(answer):
    """Samplers repeat the id in each answer: one without it may be a copy to a call without id."""

    def script(sampler, request_id, _):
        sampler.ran.append(request_id)
        return answer

    async with OneSampler(script) as running:
        began = asyncio.get_running_loop().time()
        status, stamp, _ = await running.ask("/once/x", "q")
        assert status in (502, 504) and stamp is None and running.sampler.ran == ["q"]
        assert asyncio.get_running_loop().time() - began < 1.0, "given up at once"
        await running.ask("/once/x", "q2")
        assert running.sampler.connections == 2, "the connection is not used again"


async def test_only_the_load_of_the_own_answer_counts():
    late = raw_answer(503, "Request-Id: other", REFUSED, "Server-Load: 77,7,8")

    def script(sampler, request_id, _):
        return [late, sampler.own(request_id)]

    async with OneSampler(script) as running:
        await running.ask("/once/x", "q")
        (known,) = running.front.registry.of_service("app")
        assert known.reported_load == 0


async def test_a_late_answer_is_logged_with_both_ids_at_a_limited_rate(caplog, monkeypatch):
    caplog.set_level(logging.WARNING)
    monkeypatch.setattr(response_matching, "_log_interval", LogInterval(lambda: 0.0))
    async with OneSampler(late_then_own(LATE_ANSWERS["refusal"])) as running:
        for number in range(5):
            await running.ask("/once/x", f"q{number}")
    lines = [record for record in caplog.records if record.message == "late_answer_dropped"]
    assert [(line.back_end, line.request, line.answer_of, line.status) for line in lines] == [
        ("a-1", "q0", "other", 503)
    ]


async def test_items_and_scores_are_made_behind_late_answers():
    async with Deployment(samplers=2) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        for sampler in deployment.samplers:
            sampler.faults.refuse, sampler.faults.late_copies = 4, 100
        await deployment.submit(front, items=12)
        results = await deployment.all_results(front, count=12)
        assert {result["state"] for result in results} == {"completed"}
        texts = {result["id"]: result["text"] for result in results}
        assert all(
            line.startswith(f"{item}.") for item, text in texts.items() for line in text.split("\n")
        )


async def test_a_late_refusal_of_a_request_is_no_refusal_of_a_version_order():
    """Calls without an id share the connections of items, and get answers without one."""
    orders = []

    def script(sampler, request_id, path):
        late = raw_answer(503, "Request-Id: other", REFUSED)
        if path == "/v1/report":
            version = 2 if orders else 1
            models = [{"name": "m", "version": version, "adapters": []}]
            report = {"models": models, "busy": False, "seq": len(orders)}
            return [late, raw_answer(200, body=msgspec.json.encode(report))]
        if path == "/v1/order":
            orders.append(path)
            return [late, raw_answer(202)]
        return sampler.own(request_id)

    models = [{"name": "m", "version": 1, "adapters": []}]
    async with ScriptedSampler("i-1", script) as sampler, Deployment(samplers=0) as deployment:
        await deployment.put("servers/i-1", sampler.entry(models=models))
        await deployment.configure()
        front = await deployment.start_front()
        await deployment.put("op/version/m", msgspec.json.encode({"model": "m", "version": 2}))
        await eventually(lambda: orders, "the order was given")
        (back_end,) = front.registry.of_service("svc")
        await eventually(lambda: back_end.version_of("m") == 2, "the load is known")
        assert len(orders) == 1


async def test_a_connection_on_which_a_request_was_refused_twice_is_closed():
    """The second refusal may be a copy; the sampler drops what runs when the connection closes."""

    def script(sampler, request_id, _):
        if sampler.requests <= 2:
            return raw_answer(503, f"Request-Id: {request_id}", REFUSED)
        return sampler.own(request_id)

    async with OneSampler(script) as running:
        status, _, _ = await running.ask("/safe/x", "q")
        assert (status, running.sampler.requests, running.sampler.connections) == (200, 3, 2)
