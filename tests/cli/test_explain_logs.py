"""`explain --log` shows the cause of a failed request from log files alone."""

import asyncio
import io
import json
import logging
from contextlib import redirect_stdout

import pytest

from crankseam.cli.main import main
from crankseam.serving.logs import JsonLineHandler
from tests.platform.deployment import ROUTES, Deployment, route
from tests.support.waiting import eventually


@pytest.fixture
def log_file(tmp_path):
    file = tmp_path / "front.log"
    with file.open("wb") as opened:
        handler = JsonLineHandler("front-1", opened.fileno())
        root = logging.getLogger()
        level = root.level
        root.addHandler(handler)
        root.setLevel(logging.INFO)
        yield file
        root.removeHandler(handler)
        root.setLevel(level)


def run_explain(subject, file, *flags):
    output = io.StringIO()
    with redirect_stdout(output):
        code = main(["explain", subject, "--log", str(file), *flags])
    return code, output.getvalue()


async def test_a_refused_request_tells_who_turned_it_away(log_file):
    async with Deployment() as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        for sampler in deployment.samplers:
            sampler.faults.refuse = 100
        status, _, _ = await deployment.ask(front, "/once/x", request_id="lost-1")
        assert status == 503
    code, text = run_explain("lost-1", log_file)
    assert code == 0 and "request_given_up" in text and "status 503" in text
    assert "i-0" in text and "i-1" in text and "request_refused" in text


async def test_a_late_request_tells_the_slow_back_end(log_file):
    async with Deployment() as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        for sampler in deployment.samplers:
            sampler.faults.reset_before_answer = 1
            sampler.faults.delay = 0.2
        await deployment.ask(front, "/once/x", request_id="late-1")
    code, text = run_explain("late-1", log_file, "--json")
    log_extract = json.loads(text)
    (given_up,) = [line for line in log_extract["subject"] if line["event"] == "request_given_up"]
    assert given_up["seconds"] >= 0.2 and given_up["attempts"][0] in given_up["reasons"][0]


async def test_a_lost_item_shows_its_attempts_and_the_events_of_its_job(log_file):
    async with Deployment() as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        for sampler in deployment.samplers:
            sampler.faults.fail = 100
        await deployment.submit(front, "job7", items=1)
        async with asyncio.timeout(20):
            (result,) = await deployment.all_results(front, "job7", 1)
        assert result["state"] == "lost"
        await eventually(lambda: "results_listed" in log_file.read_text())
    code, text = run_explain("job7-0", log_file)
    assert code == 0 and text.count("item_failed") == 3
    assert "job_accepted" in text and "results_listed" in text and "failure 3" in text


async def test_a_request_refused_under_load_shows_its_estimate_and_the_limit_of_then(log_file):
    async with Deployment(samplers=1) as deployment:
        deployment.samplers[0].slots = 1
        await deployment.put("servers/i-0", deployment.samplers[0].entry())
        urgent = route("r-urgent", "/urgent-job/", "rollout", priority=1)
        await deployment.configure(routes=[*ROUTES, urgent])
        front = await deployment.start_front()
        deployment.samplers[0].faults.hang = True
        first = asyncio.create_task(deployment.ask(front, "/once/x", request_id="first"))
        await eventually(front.gate.limit_total)
        status, _, _ = await deployment.ask(
            front, "/once/x", request_id="refused", Deadline_Ms="300"
        )
        assert status == 503
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
    code, text = run_explain("refused", log_file)
    assert code == 0 and "request_rejected_early" in text and "cause=no answer in time" in text
    assert "left_s=" in text and "wait_s=" in text and "request_refused" in text
    assert "concurrency_limit_changed" in text.partition("meanwhile:")[2]


def test_an_unknown_id_is_said_and_odd_lines_are_skipped(tmp_path):
    file = tmp_path / "x.log"
    file.write_text('not json\n  1.5 n {"event": "x"}\n{"time": 1, "event": "y", "job": "j"}\n{"')
    assert run_explain("nobody", file)[0] != 0
    assert run_explain("j", file)[0] == 0
