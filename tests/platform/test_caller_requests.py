"""Deadlines that callers send: a request must never wait for ever, nor be due at no time at all.

`Deadline-Ms` is read as a float, and ``inf``, ``nan`` and ``1e308`` are floats. A deadline that
never comes, or that compares as false with every time, reaches timers, the line and estimates.
"""

import math

import pytest
from aiohttp.test_utils import make_mocked_request
from crankseam_platform import headers as header_names
from crankseam_platform.caller_requests import DEFAULT_DEADLINE_S, caller_deadline

from crankseam import clocks
from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import BadRequest

ROUNDING_S = 1e-6


def deadline_left_s(raw):
    request = make_mocked_request("GET", "/", headers={header_names.DEADLINE_MS: raw})
    return caller_deadline(request) - clocks.boottime_s()


@pytest.mark.parametrize("raw", ["inf", "-inf", "Infinity", "nan", "-nan", "1e999", "soon", ""])
def test_a_deadline_that_is_no_finite_number_is_a_bad_request(raw):
    with pytest.raises(BadRequest) as raised:
        deadline_left_s(raw)
    assert raised.value.outcome == OUTCOME_NOT_RUN


@pytest.mark.parametrize("raw", ["1e308", "1e15", str(int(DEFAULT_DEADLINE_S * 1000) + 1)])
def test_a_huge_deadline_counts_as_the_default_one(raw):
    left_s = deadline_left_s(raw)
    assert math.isfinite(left_s) and left_s <= DEFAULT_DEADLINE_S + ROUNDING_S


@pytest.mark.parametrize(("raw", "expected_s"), [("2500", 2.5), ("-5", 0.0), ("-1e308", 0.0)])
def test_other_deadlines_are_kept_and_one_that_has_passed_is_due_at_once(raw, expected_s):
    assert deadline_left_s(raw) <= expected_s + ROUNDING_S
    assert deadline_left_s(raw) == pytest.approx(expected_s, abs=5.0)
