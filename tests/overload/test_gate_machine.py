"""Any interleaving of arrivals, ends, cancelled callers, deadlines and back ends that come and go.

A request that got a place was perhaps sent, so it must never be told "not run" by the gate, and a
place must be given back exactly once. Both are lost easily where a grant, a refusal and a
cancellation of the same request fall into one turn of the event loop.
"""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import Unavailable
from crankseam.overload.line import WaitingLine
from crankseam.serving.fair_order import ArrivalOrder
from tests.overload.rig import Rig, settle
from tests.support.virtual_clock import VirtualClockLoop

ARRIVE = st.tuples(
    st.just("arrive"), st.floats(0.1, 20.0), st.sampled_from("ab"), st.integers(0, 2)
)
TURN = st.tuples(st.just("turn"))
END = st.tuples(st.just("end"), st.integers(0, 10), st.booleans())
STEPS = st.lists(
    st.one_of(
        *[ARRIVE] * 4,
        *[TURN] * 3,
        *[END] * 3,
        st.tuples(st.just("end and cancel who waits")),
        st.tuples(st.just("cancel"), st.integers(0, 10)),
        st.tuples(st.just("pass"), st.floats(0.0, 5.0)),
        st.tuples(st.just("suspend"), st.floats(0.2, 10.0)),
        st.tuples(st.just("add back end"), st.integers(0, 1)),
        st.tuples(st.just("lose back end"), st.integers(0, 1)),
        st.tuples(st.just("reject")),
        st.tuples(st.just("hedge"), st.integers(0, 10)),
    ),
    min_size=10,
    max_size=80,
)


class Caller:
    """One request: passes the gate, and runs until the test ends or cancels it."""

    def __init__(self, rig, number, left_s, tenant, priority):
        self.permit = None
        self.is_sent = False
        self.has_ended = asyncio.Event()
        self.is_answered = True
        self.rig = rig
        request = rig.request(f"q{number}", left_s, tenant, priority)
        self.task = asyncio.create_task(self.run(request))

    async def run(self, request):
        self.permit = await self.rig.gate.enter(request)
        self.is_sent = True
        try:
            await self.has_ended.wait()
            if self.is_answered:
                self.permit.record_answer()
        finally:
            self.permit.release()


def check(rig, callers):
    """Check what holds whenever no callback is ready."""
    for caller in callers:
        if caller.task.done() and not caller.task.cancelled():
            error = caller.task.exception()
            assert error is None or isinstance(error, Unavailable), error
            assert not (error and caller.is_sent), "told not run, but was sent"
            assert error is None or error.outcome == OUTCOME_NOT_RUN
    state = rig.gate._states.get("svc")
    if state is None:
        return
    running = [caller for caller in callers if caller.is_sent and not caller.task.done()]
    assert state.running == sum(1 + caller.permit._hedges for caller in running)
    waiting = [caller for caller in callers if not caller.task.done() and not caller.is_sent]
    assert len(state.line) == len(waiting)
    slots = sum(back_end.record.slots for back_end in rig.registry.of_service("svc"))
    if waiting:
        assert slots and state.is_limit_in_use(), "work conserving"
    assert state.limit.requests <= max(1, slots) or state.are_slots_outdated


async def cancel_as_places_are_granted(callers):
    """End all that run, and cancel those that wait after the grant but before they see it."""
    open_callers = [caller for caller in callers if not caller.task.done()]
    waiting = [caller for caller in open_callers if not caller.is_sent]
    for caller in open_callers:
        if caller.is_sent:
            caller.has_ended.set()
    await asyncio.sleep(0)
    for caller in waiting:
        caller.task.cancel()


async def play(steps):
    rig, callers = Rig(back_ends=2, slots=1), []
    rig.gate._current_state("svc").line = WaitingLine(
        lambda _priority: ArrivalOrder(), max_entries=2
    )
    for number, (kind, *values) in enumerate(steps):
        if kind == "arrive":
            callers.append(Caller(rig, number, *values))
        elif kind in ("end", "cancel", "hedge") and callers:
            open_callers = [each for each in callers if not each.task.done()] or callers
            caller = open_callers[values[0] % len(open_callers)]
            if kind == "end":
                caller.is_answered = values[1]
                caller.has_ended.set()
            elif kind == "cancel":
                caller.task.cancel()
            elif caller.is_sent and not caller.task.done():
                caller.permit.may_hedge("b0")
        elif kind == "pass":
            await asyncio.sleep(values[0])
        elif kind == "suspend":
            rig.suspended_s += values[0]
            rig.gate.judge_anew()
        elif kind == "add back end":
            rig.add_back_end(f"b{values[0]}")
        elif kind == "lose back end":
            rig.registry.remove(f"b{values[0]}")
        elif kind == "reject":
            rig.gate.record_full("svc")
        elif kind == "end and cancel who waits":
            await cancel_as_places_are_granted(callers)
        elif kind == "turn":
            await settle()
            check(rig, callers)
    await settle()
    check(rig, callers)
    for caller in callers:
        caller.has_ended.set()
    await asyncio.gather(*(caller.task for caller in callers), return_exceptions=True)
    check(rig, callers)
    assert rig.gate.waiting_total() == 0
    assert all(state.running == 0 for state in rig.gate._states.values())


@settings(max_examples=400)
@given(STEPS)
def test_places_are_given_back_once_and_not_run_is_never_told_of_a_request_that_was_sent(steps):
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        runner.run(play(steps))
