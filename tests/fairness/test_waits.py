"""Answers the question why a tenant waited, when many wait for long."""

import logging

from crankseam.fairness.waits import (
    REPORT_INTERVAL_S,
    REPORTED_WAIT_S,
    SHARE_PERIOD_S,
    TenantWaits,
    WaitingRequest,
)


def lines(caplog):
    return [record for record in caplog.records if record.msg == "tenant_waited"]


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def test_a_line_tells_the_wait_and_the_shares(caplog):
    caplog.set_level(logging.INFO)
    clock = Clock()
    waits = TenantWaits(clock)
    for tenant, work_s in (("large", 6.0), ("other", 1.0), ("small", 1.0)):
        waits.granted(tenant, work_s)
    requests = [WaitingRequest("small", 98.0), WaitingRequest("small", 97.5)]
    waits.look([*requests, WaitingRequest("large", 100.0 - 0.9 * REPORTED_WAIT_S)])
    (line,) = lines(caplog)
    assert (line.tenant, line.waiting, line.waited_s) == ("small", 2, 2.5)
    assert (line.share, line.largest_other) == (0.125, 0.75)


def test_lines_are_bounded_by_tenants_and_time_not_by_requests(caplog):
    caplog.set_level(logging.INFO)
    clock = Clock()
    waits = TenantWaits(clock)
    waiting = [WaitingRequest(f"t{number % 80}", 0.0) for number in range(1000)]
    for _ in range(100):
        if waits.is_due():
            waits.look(waiting)
        clock.now += 0.99 * REPORT_INTERVAL_S / 100
    assert len(lines(caplog)) == 80
    clock.now += REPORT_INTERVAL_S
    waits.look(waiting)
    assert len(lines(caplog)) == 160


def test_shares_forget_work_of_long_ago():
    clock = Clock()
    waits = TenantWaits(clock)
    waits.granted("a", 1.0)
    clock.now += SHARE_PERIOD_S
    waits.granted("b", 3.0)
    assert waits.shares("a") == (0.25, 0.75)
    clock.now += SHARE_PERIOD_S
    assert waits.shares("a") == (0.0, 1.0)
    clock.now += 3 * SHARE_PERIOD_S
    assert waits.shares("a") == (0.0, 0.0)


def test_a_clock_that_jumps_back_silences_nobody(caplog):
    caplog.set_level(logging.INFO)
    clock = Clock()
    waits = TenantWaits(clock)
    waits.look([WaitingRequest("a", 0.0)])
    clock.now = 10.0
    assert waits.is_due()
    waits.look([WaitingRequest("a", 0.0)])
    assert len(lines(caplog)) == 2


def test_memory_is_bounded_with_many_names():
    clock = Clock()
    waits = TenantWaits(clock)
    for number in range(10_000):
        waits.granted(str(number), 1.0)
        waits.look([WaitingRequest(str(number), 0.0)])
    assert len(waits._reported_s) <= 1024 and len(waits._granted_s) <= 1024
