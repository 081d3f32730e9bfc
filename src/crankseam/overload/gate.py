"""Gate that each forwarded request passes before it is sent: it gets a place, waits or is refused.

Inputs: the limit of concurrent requests (`concurrency`), the waiting line (`line`), the estimate of
the answer (`estimate`), all exact and of this process; the slots of the service's back ends, from
the newest discovery data; whether a slot is free, from load reports of at most
`back_ends.LOAD_REPORT_MAX_AGE_S` seconds.
Rule: A request of a contended service gets a place at once if nothing waits and the limit is not in
use. Otherwise it waits, unless the estimate says that it can't be answered in time or the line has
no room for it. A request that the estimate refuses is nevertheless given a place if nothing waits
and a back end is known to have a free slot. A waiting request is refused as soon as the typical
duration no longer fits into the time it has left, and all of them are judged again when the machine
was suspended or back ends are lost. Requests of other services pass unlimited.
Purpose: Keeps the back ends busy but not overfull, and lets callers return in time instead of
waiting for an answer that can't come.
Logged as: `request_queued`, `request_rejected_early`, `concurrency_limit_changed`,
`hedge_withheld`.
Tested by: tests/overload/test_gate.py, tests/overload/test_gate_machine.py,
tests/overload/test_forwarded_answers.py, tests/platform/test_overload.py.

All state is that of one process and is lost with it. A refused request ran nowhere: it was not
sent, or, if it returned to the line, all back ends rejected it that it was sent to.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from functools import partial

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import Unavailable
from crankseam.jobs.places import slots_of
from crankseam.overload.concurrency import LATENCY_TOLERANCE, usable_slots
from crankseam.overload.gate_log import log_hedge_withheld, log_limit, log_queued, log_refusal
from crankseam.overload.messages import (
    SYSTEM_CLOCKS,
    ContentionLookup,
    GateClocks,
    GateRequest,
    RefusalCause,
)
from crankseam.overload.permits import Permit
from crankseam.overload.retry_after import choose_retry_after_s
from crankseam.overload.service_state import ServiceState
from crankseam.overload.waiting import Waiting
from crankseam.serving.back_ends import BackEndRegistry
from crankseam.serving.fair_order import OrderLookup, order_of_arrival


class OverloadGate:
    """Gate of one process for the requests that it forwards.

    Parameters
    ==========

    contention : tells for which services the gate is in effect.
    order_of : returns the order among the tenants of a service and priority.
    generator : source of the random waits that callers are told; set by tests.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        contention: ContentionLookup,
        order_of: OrderLookup = order_of_arrival,
        gate_clocks: GateClocks = SYSTEM_CLOCKS,
        generator: random.Random | None = None,
    ) -> None:
        self._registry = registry
        self._contention = contention
        self._order_of = order_of
        self._boottime_s, self._monotonic_s = gate_clocks
        self._generator = generator or random.Random()
        self._states: dict[str, ServiceState] = {}
        self._numbers = itertools.count()
        registry.on_change.append(self._handle_back_end_change)

    # --- entry, waiting and dispatch

    async def enter(self, request: GateRequest) -> Permit:
        """Return the place of a request, after waiting for it if necessary.

        Raises
        ======

        Unavailable : the request was refused and must not be sent.
        """
        if not self._contention.is_contended(request.service):
            return Permit(self, None, request, self._monotonic_s())
        state = self._current_state(request.service)
        if not state.limit.slots:
            raise self._refuse(state, request, RefusalCause.NO_BACK_END, 0)
        if not len(state.line) and not state.is_limit_in_use():
            return self._grant(state, request)
        place = state.place_of(request)
        estimate = state.estimate(request, place, self._monotonic_s())
        if not estimate.fits(self._left_s(request)):
            if not len(state.line) and self._free_slots(request.service):
                return self._grant(state, request)
            raise self._refuse(state, request, RefusalCause.ESTIMATE, place)
        return await self._wait(state, request, place)

    async def _wait(self, state: ServiceState, request: GateRequest, place: int) -> Permit:
        waiting = self._join(state, request, place)
        self._check_time_left(state, waiting)
        try:
            decision = await waiting.decided
        except asyncio.CancelledError:
            self._abandon(state, waiting)
            raise
        finally:
            if waiting.timer is not None:
                waiting.timer.cancel()
        if isinstance(decision, Unavailable):
            raise decision
        return decision

    def _join(self, state: ServiceState, request: GateRequest, place: int) -> Waiting:
        """Add a request to the line; raises Unavailable if the line has no room for it."""
        waiting = Waiting(
            request.inbound.tenant,
            request.priority,
            request.give_up_at,
            len(request.inbound.body),
            next(self._numbers),
            request=request,
            place=place,
            arrived_at=self._boottime_s(),
            decided=asyncio.get_running_loop().create_future(),
        )
        displaced = state.line.add(waiting)
        if displaced is waiting:
            raise self._refuse(state, request, RefusalCause.LINE_FULL, place)
        if isinstance(displaced, Waiting):
            place = state.place_of(displaced.request)
            self._refuse_waiting(state, displaced, RefusalCause.DISPLACED, place)
        return waiting

    def _abandon(self, state: ServiceState, waiting: Waiting) -> None:
        """Remove a request whose caller has gone, also if it was granted a place meanwhile."""
        is_decided = waiting.decided.done() and not waiting.decided.cancelled()
        decision = waiting.decided.result() if is_decided else None
        if isinstance(decision, Permit):
            decision.release(may_have_run=False)
        elif decision is None:
            state.line.remove(waiting)
            log_queued(state, waiting, "cancelled", self._waited_s(waiting))

    def _check_time_left(self, state: ServiceState, waiting: Waiting) -> None:
        """Refuse a request if its typical duration no longer fits, else check again later.

        The typical duration may have become shorter since the request arrived. If it became longer,
        the request is judged when its turn comes.
        """
        spare_s = self._left_s(waiting.request) - state.run_s(waiting.request)
        if spare_s <= 0.0:
            self._expire(state, waiting, state.place_of(waiting.request))
            return
        loop = asyncio.get_running_loop()
        waiting.timer = loop.call_later(spare_s, self._check_time_left, state, waiting)

    def _expire(self, state: ServiceState, waiting: Waiting, place: int) -> None:
        """Refuse a waiting request that can no longer be answered in time."""
        if waiting.is_waiting and not waiting.decided.done():
            state.line.remove(waiting)
            self._refuse_waiting(state, waiting, RefusalCause.ESTIMATE, place)

    def _grant(self, state: ServiceState, request: GateRequest) -> Permit:
        state.running += 1
        state.hedges.record_request()
        now = self._monotonic_s()
        state.drain.set_busy(state.is_limit_in_use(), now)
        state.assumed_s = request.route.target_latency_s
        order = self._order_of(request.service, request.priority)
        order.charge(request.inbound.tenant, state.expected_s())
        return Permit(self, state, request, now)

    def _dispatch(self, state: ServiceState) -> None:
        """Give the free places to the requests that are next."""
        while not state.is_limit_in_use():
            waiting = state.line.take()
            if waiting is None:
                return
            assert isinstance(waiting, Waiting)
            if waiting.decided.done():
                continue  # its caller has gone, but its task has not run yet
            if state.run_s(waiting.request) > self._left_s(waiting.request):
                self._refuse_waiting(state, waiting, RefusalCause.ESTIMATE, 0)
                continue
            log_queued(state, waiting, "granted", self._waited_s(waiting))
            waiting.decided.set_result(self._grant(state, waiting.request))

    # --- called by permits and by the forwarder

    def record_answer(self, state: ServiceState, request: GateRequest, granted_at: float) -> None:
        """Record the latency of an answered request, and adjust the limit."""
        now = self._monotonic_s()
        latency = state.latencies.add(request.route.name, now - granted_at, now)
        if latency.rise() <= LATENCY_TOLERANCE:
            if state.limit.may_rise(state.running):
                state.limit.record_success(self._free_slots(request.service))
        elif state.limit.may_fall(now, latency.smoothed_s):
            if not self._free_slots(request.service):
                state.limit.record_high_latency(now, latency.smoothed_s)
        log_limit(state, request.service, now)
        if len(state.line):
            self.dispatch(state, request.service)  # the place of a stream is given back much later

    def record_full(self, service: str) -> None:
        """Record that a back end of a service rejected a request because it was full."""
        state = self._states.get(service)
        if state is None or not self._contention.is_contended(service):
            return
        state.limit.record_rejection(self._monotonic_s(), state.expected_s())
        log_limit(state, service, self._monotonic_s())

    def try_hedge(self, state: ServiceState, request: GateRequest, slow: str) -> bool:
        """Whether a request may be hedged; if so, the hedge occupies a place."""
        tokens = state.hedges.tokens
        refusal = state.hedges.try_take(len(state.line), state.running, state.limit.requests)
        if refusal is None:
            state.running += 1
            return True
        log_hedge_withheld(state, request, slow, refusal, tokens)
        return False

    def record_end(self, state: ServiceState, granted_at: float) -> None:
        """Record for how long a request occupied its place."""
        now = self._monotonic_s()
        state.drain.record_end(now - granted_at, now)

    def dispatch(self, state: ServiceState, service: str) -> None:
        """Let the next requests run after places were given back."""
        self._refresh(state, service)
        self._dispatch(state)
        state.drain.set_busy(state.is_limit_in_use(), self._monotonic_s())

    def retry_after_s(self, request: GateRequest) -> float | None:
        """Return the wait for a caller whose request no back end took; None if not contended."""
        if not self._contention.is_contended(request.service):
            return None
        state = self._current_state(request.service)
        return self._retry_after_s(state, request)

    def judge_anew(self) -> None:
        """Refuse the waiting requests that can no longer be answered in time.

        Called after a suspension of the machine, during which the timers stood still.
        """
        for state in self._states.values():
            self._judge_line(state)

    # --- estimates

    def _left_s(self, request: GateRequest) -> float:
        return request.give_up_at - self._boottime_s()

    def _judge_line(self, state: ServiceState) -> None:
        """Refuse every waiting request that can't be answered in time, in the order of the line."""
        place = 0
        for waiting in state.line.waiters():
            assert isinstance(waiting, Waiting)
            estimate = state.estimate(waiting.request, place, self._monotonic_s())
            if estimate.fits(self._left_s(waiting.request)):
                place += 1
            else:
                self._expire(state, waiting, place)

    # --- back ends

    def _handle_back_end_change(self) -> None:
        for service, state in self._states.items():
            state.are_slots_outdated = True
            if len(state.line):
                self._refresh(state, service)
                self._dispatch(state)

    def _current_state(self, service: str) -> ServiceState:
        state = self._states.get(service)
        if state is None:
            state = self._states[service] = ServiceState(partial(self._order_of, service))
        self._refresh(state, service)
        return state

    def _refresh(self, state: ServiceState, service: str) -> None:
        """Count the slots again if back ends changed, and judge the line if some were lost."""
        if not state.are_slots_outdated:
            return
        state.are_slots_outdated = False
        former_slots = state.limit.slots
        slots = sum(
            usable_slots(slots_of(back_end)) for back_end in self._registry.of_service(service)
        )
        state.limit.set_slots(slots)
        log_limit(state, service, self._monotonic_s())
        if not slots:
            self._refuse_all(state)
        elif slots < former_slots:
            self._judge_line(state)

    def _refuse_all(self, state: ServiceState) -> None:
        while (waiting := state.line.take()) is not None:
            assert isinstance(waiting, Waiting)
            self._refuse_waiting(state, waiting, RefusalCause.NO_BACK_END, 0)

    def _free_slots(self, service: str) -> int:
        """Return how many slots are known to be free; those of avoided back ends do not count."""
        now = self._monotonic_s()
        return sum(
            max(0, math.ceil(usable_slots(slots_of(back_end)) - back_end.expected_load(now)))
            for back_end in self._registry.of_service(service)
            if back_end.avoid_until <= now
        )

    # --- refusals, log and gauges

    def _refuse(
        self,
        state: ServiceState,
        request: GateRequest,
        cause: RefusalCause,
        place: int,
        waited_s: float = 0.0,
    ) -> Unavailable:
        """Log the refusal of a request, and return the error for its caller.

        Parameters
        ==========

        place : number of requests that would get their turn earlier.
        """
        now = self._monotonic_s()
        retry_after_s = self._retry_after_s(state, request)
        log_refusal(
            state,
            request,
            cause,
            place,
            state.estimate(request, place, now),
            left_s=self._left_s(request),
            waited_s=waited_s,
            retry_after_s=retry_after_s,
            now=now,
        )
        return Unavailable(cause.value, OUTCOME_NOT_RUN, retry_after_s)

    def _refuse_waiting(
        self, state: ServiceState, waiting: Waiting, cause: RefusalCause, place: int
    ) -> None:
        """Refuse a request that has left the line; does nothing if its caller has gone."""
        if waiting.decided.done():
            return
        waited_s = self._waited_s(waiting)
        waiting.decided.set_result(self._refuse(state, waiting.request, cause, place, waited_s))

    def _retry_after_s(self, state: ServiceState, request: GateRequest) -> float:
        drain_s = (len(state.line) + 1) / state.drain_per_s(request, self._monotonic_s())
        left_s = request.inbound.deadline - self._boottime_s()
        return choose_retry_after_s(drain_s, left_s, self._generator)

    def _waited_s(self, waiting: Waiting) -> float:
        return self._boottime_s() - waiting.arrived_at

    def limit_total(self) -> int:
        """Return the sum of the limits of all contended services that got requests."""
        return sum(state.limit.requests for state in self._states.values())

    def waiting_total(self) -> int:
        """Return the number of requests that wait for any service."""
        return sum(len(state.line) for state in self._states.values())
