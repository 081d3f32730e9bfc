"""Observes the attempts of this process at contended services: how long they take, how many run.

Owns nothing; feeds `ServiceTimes` and `CallerWork`. At services that are not contended it records
nothing, since nothing is decided by it there.
Tested by: tests/serving/test_attempt_observer.py.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from crankseam.serving.back_ends import BackEnd
from crankseam.serving.caller_work import CallerWork
from crankseam.serving.contention import Contention, NoContention
from crankseam.serving.service_times import ServiceTimes


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt while it runs.

    Attributes
    ==========

    is_complete : set once a complete answer without an error has arrived.
    """

    is_complete: bool = False


class AttemptObserver:
    """Records the durations of attempts at contended services.

    Parameters
    ==========

    clock : returns monotonic seconds; set by tests.
    """

    def __init__(
        self,
        contention: Contention | NoContention,
        service_times: ServiceTimes,
        caller_work: CallerWork,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._contention = contention
        self._service_times = service_times
        self._caller_work = caller_work
        self._clock = clock

    @contextmanager
    def attempt(self, back_end: BackEnd, route: str) -> Iterator[ObservedAttempt]:
        """Observe an attempt; its task sets `is_complete`.

        An attempt that is cancelled, also by a time-out around it, counts as at least as long as it
        ran. One that ends with another error counts as nothing.
        """
        observed = ObservedAttempt()
        began_at = self._clock()
        try:
            yield observed
        except (asyncio.CancelledError, TimeoutError):
            if self._contention.is_contended(back_end.record.service):
                elapsed_s = self._clock() - began_at
                self._service_times.record_unfinished(back_end, route, elapsed_s)
            raise
        if observed.is_complete and self._contention.is_contended(back_end.record.service):
            self._service_times.record_answer(back_end, route, self._clock() - began_at)

    @contextmanager
    def caller_attempt(self, back_end: BackEnd, route: str) -> Iterator[ObservedAttempt]:
        """Observe an attempt at a caller's request, which counts as a caller's work as well."""
        service = back_end.record.service
        if not self._contention.is_contended(service):
            yield ObservedAttempt()
            return
        began_at = self._clock()
        try:
            with self.attempt(back_end, route) as observed:
                yield observed
        finally:
            self._caller_work.record(service, self._clock() - began_at)


def no_observer() -> AttemptObserver:
    """Return an observer that records nothing, for parts that run without a front."""
    return AttemptObserver(NoContention(), ServiceTimes(), CallerWork())
