"""What an attempt teaches by how it ends, at contended services and at others."""

import asyncio

import pytest

from crankseam.serving.attempt_observer import AttemptObserver
from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.caller_work import CallerWork
from crankseam.serving.contention import NoContention
from crankseam.serving.messages import AttemptBroken, AttemptNotRun
from crankseam.serving.service_times import ServiceTimes
from tests.support.clock import FakeClock


class ContendedAt(NoContention):
    def __init__(self, service):
        self.service = service

    def is_contended(self, service):
        return service == self.service


class Recorded(ServiceTimes):
    def __init__(self):
        super().__init__()
        self.answers, self.unfinished = [], []

    def record_answer(self, back_end, route, duration_s):
        self.answers.append((back_end.record.id, route, duration_s))

    def record_unfinished(self, back_end, route, elapsed_s):
        self.unfinished.append((back_end.record.id, route, elapsed_s))


class Observed:
    def __init__(self, service="s"):
        self.clock, self.times = FakeClock(), Recorded()
        self.work = CallerWork(self.clock.monotonic)
        self.observer = AttemptObserver(
            ContendedAt(service), self.times, self.work, self.clock.monotonic
        )

    def attempt(self, is_complete=False, error=None):
        back_end = BackEnd(BackEndRecord("a", "s", "1.1.1.1:1", "z", 4))
        with self.observer.caller_attempt(back_end, "r") as attempt:
            self.clock.now += 0.5
            attempt.is_complete = is_complete
            if error is not None:
                raise error


def test_a_complete_answer_counts_with_its_duration():
    observed = Observed()
    observed.attempt(is_complete=True)
    assert (observed.times.answers, observed.times.unfinished) == ([("a", "r", 0.5)], [])
    assert observed.work.average_running("s") > 0.0


@pytest.mark.parametrize("error", [asyncio.CancelledError(), TimeoutError()])
def test_an_attempt_given_up_counts_as_at_least_as_long_as_it_ran(error):
    observed = Observed()
    with pytest.raises(type(error)):
        observed.attempt(error=error)
    assert (observed.times.answers, observed.times.unfinished) == ([], [("a", "r", 0.5)])


@pytest.mark.parametrize("error", [None, AttemptNotRun("full"), AttemptBroken("reset")])
def test_errors_and_rejections_teach_no_time_and_are_callers_work(error):
    observed = Observed()
    try:
        observed.attempt(error=error)
    except (AttemptNotRun, AttemptBroken):
        pass
    assert (observed.times.answers, observed.times.unfinished) == ([], [])
    assert observed.work.average_running("s") > 0.0


def test_nothing_is_recorded_at_a_service_that_is_not_contended():
    observed = Observed(service="other")
    observed.attempt(is_complete=True)
    with pytest.raises(TimeoutError):
        observed.attempt(error=TimeoutError())
    assert (observed.times.answers, observed.times.unfinished) == ([], [])
    assert observed.work.average_running("s") == 0.0
