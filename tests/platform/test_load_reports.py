"""Load reports of back ends are decoded, and what can't be decoded is logged.

A back end that shares its machine with others reports a fourth figure: how long work takes there at
the moment. A decoder that expects exactly three figures discarded such a report as a whole, without
a log line, so that every choice rested on the requests of the process's own.
"""

import logging

import pytest
from crankseam_platform.load_reports import LoadReportDecoder, MalformedLoadReport, decode_load

from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.load_reports import LoadReport
from tests.platform.deployment import Deployment


def back_end(name="i-1"):
    return BackEnd(BackEndRecord(name, "svc", "127.0.0.1:1", "z", 8))


def test_three_figures_are_the_load_and_a_fourth_one_the_slowdown():
    assert decode_load("3,1,8") == LoadReport(running=3, waiting=1, slots=8)
    assert decode_load("3,1,8,170") == LoadReport(running=3, waiting=1, slots=8, slowdown=1.7)
    assert decode_load(" 3, 1 ,8, 70 ") == LoadReport(running=3, waiting=1, slots=8, slowdown=0.7)


def test_figures_after_the_fourth_are_ignored():
    assert decode_load("3,1,8,170,9,x") == LoadReport(running=3, waiting=1, slots=8, slowdown=1.7)


@pytest.mark.parametrize(
    "value",
    [
        "3",
        "3,1",
        "a,b,c",
        "-1,0,8",
        "1,-2,8",
        "1,2,-8",
        "1,,8",
        "1.5,0,8",
        "9999999999,0,8",
        "٣,1,8",
    ],
)
def test_a_report_without_usable_figures_is_malformed(value):
    with pytest.raises(MalformedLoadReport):
        decode_load(value)


@pytest.mark.parametrize("slowdown", ["x", "", "0", "-5", "nan", "inf", "1" * 40])
def test_a_slowdown_that_is_no_positive_number_leaves_the_load_in_use(slowdown):
    """Only the fourth figure is at fault: the first three are as exact as ever."""
    report = decode_load(f"3,1,8,{slowdown}")
    assert (report.running, report.waiting, report.slots) == (3, 1, 8)
    assert report.slowdown is None


def test_a_malformed_report_is_logged_once_per_back_end_and_interval(caplog):
    caplog.set_level(logging.WARNING)
    now = 100.0
    decoder = LoadReportDecoder(lambda: now)
    one, other = back_end(), back_end("i-2")
    assert [decoder.decode(one, "a,b,c") for _ in range(50)] == [None] * 50
    assert decoder.decode(other, "a,b,c") is None
    lines = [record for record in caplog.records if record.message == "load_report_malformed"]
    assert [(line.back_end, line.value) for line in lines] == [("i-1", "a,b,c"), ("i-2", "a,b,c")]
    now += 60.0
    decoder.decode(one, "x" * 5000)
    assert len(caplog.records) == 3
    assert len(caplog.records[-1].value) < 100
    assert caplog.records[-1].count == 50


def test_the_log_of_malformed_reports_is_bounded_when_back_ends_come_and_go(caplog):
    decoder = LoadReportDecoder(lambda: 0.0)
    for number in range(5000):
        decoder.decode(back_end(f"i-{number}"), "a,b,c")
    assert decoder.remembered() <= 1024


def test_an_absent_report_is_no_malformed_one(caplog):
    decoder = LoadReportDecoder(lambda: 0.0)
    assert decoder.decode(back_end(), None) is None
    assert not caplog.records


async def test_a_front_uses_a_report_with_four_figures():
    async with Deployment(samplers=1) as deployment:
        deployment.samplers[0].load_report = "3,2,8,170"
        await deployment.configure()
        front = await deployment.start_front()
        assert (await deployment.ask(front, "/safe/x"))[0] == 200
        (sampler,) = front.registry.of_service("svc")
        assert sampler.reported_load == 5
        assert sampler.slowdown == 1.7
