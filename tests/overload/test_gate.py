"""The gate under load: bursts, slow servers, lost back ends, clock jumps and cancelled callers."""

import asyncio
from collections import Counter

import pytest

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import Unavailable
from crankseam.overload.held_body import HeldBody
from crankseam.overload.line import MAX_LINE_ENTRIES, WaitingLine
from crankseam.overload.messages import RefusalCause
from crankseam.serving.fair_order import ArrivalOrder
from tests.overload.rig import SERVICE, Contended, LoggedEvents, Rig, settle, virtual


@virtual
async def test_an_uncontended_service_is_not_limited_hedged_freely_and_told_the_old_wait():
    rig = Rig(slots=1, contention=Contended(False))
    permits = [await rig.gate.enter(rig.request()) for _ in range(20)]
    assert all(permit.may_hedge("b0") for permit in permits)
    assert rig.gate.retry_after_s(rig.request()) is None
    assert rig.gate.waiting_total() == rig.gate.limit_total() == 0
    for permit in permits:
        permit.release()


@virtual
async def test_a_burst_of_10000_is_served_at_capacity_or_refused_at_once_as_not_run():
    rig = Rig(back_ends=10, slots=4)
    with LoggedEvents() as events:
        tasks = [
            asyncio.create_task(rig.run(f"q{number}", duration_s=0.5, left_s=10.0))
            for number in range(10_000)
        ]
        await settle()
        assert rig.gate.waiting_total() <= MAX_LINE_ENTRIES
        refused = [task for task in tasks if task.done()]
        results = await asyncio.gather(*tasks, return_exceptions=True)
    problems = [result for result in results if isinstance(result, Unavailable)]
    began_at = [result for result in results if isinstance(result, float)]
    assert len(problems) + len(began_at) == 10_000
    assert {problem.outcome for problem in problems} == {OUTCOME_NOT_RUN}
    assert len(refused) == len(problems), "nobody is held and then refused"
    assert max(began_at) + 0.5 <= 10.0, "nobody is served too late"
    per_slot = Counter(round(each, 1) for each in began_at)
    assert per_slot[0.0] == 40 and min(list(per_slot.values())[:-1]) >= 39, "no slot idles"
    waits_s = [problem.retry_after for problem in problems]
    assert max(waits_s) <= 10.0 / 3.0 and len(set(waits_s)) > 0.99 * len(waits_s), "spread"
    assert len(events.named("request_rejected_early")) == len(problems)
    assert len(events.named("concurrency_limit_changed")) < 10
    assert rig.state.running == 0


@virtual
async def test_one_back_end_serves_one_after_the_other_in_order_of_the_deadlines():
    rig, order = Rig(slots=1), []
    first = await rig.gate.enter(rig.request())

    async def record(name, left_s):
        permit = await rig.gate.enter(rig.request(name, left_s=left_s))
        order.append(name)
        permit.release()

    tasks = [asyncio.create_task(record(f"{left_s}", left_s)) for left_s in (50, 30, 40)]
    await settle()
    assert not order
    first.release()
    await asyncio.gather(*tasks)
    assert order == ["30", "40", "50"]


@virtual
async def test_without_back_ends_requests_are_refused_at_once_and_those_that_wait_too():
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request())
    waiting = rig.enter()
    await settle()
    rig.registry.remove("b0")
    with pytest.raises(Unavailable) as raised:
        await waiting
    assert raised.value.detail == RefusalCause.NO_BACK_END.value
    with pytest.raises(Unavailable):
        await rig.gate.enter(rig.request())
    permit.release()
    rig.add_back_end("b1")
    (await rig.gate.enter(rig.request())).release()


@virtual
async def test_a_lost_back_end_lowers_the_limit_at_once_and_who_is_now_too_late_is_refused():
    rig = Rig(back_ends=4, slots=1)
    permits = [await rig.gate.enter(rig.request()) for _ in range(4)]
    waiting = [rig.enter(f"q{number}", left_s=2.5) for number in range(4)]
    await settle()
    assert not any(task.done() for task in waiting)
    for name in ("b0", "b1", "b2"):
        rig.registry.remove(name)
    assert rig.state.limit.requests == 1
    await settle()
    assert [task.done() for task in waiting] == [False, True, True, True]
    for permit in permits:
        permit.release()
    (await waiting[0]).release()


@virtual
async def test_when_all_servers_become_slow_new_callers_are_refused_and_hedging_stops():
    rig = Rig(back_ends=2, slots=8)
    for _ in range(40):
        await asyncio.gather(*(rig.run(duration_s=0.1) for _ in range(8)))
    with LoggedEvents() as events:
        hedged = 0
        for _ in range(30):
            permit = await rig.gate.enter(rig.request())
            hedged += permit.may_hedge("b0")
            permit.release()
    assert 0 < hedged <= 5 + 30 * 0.1
    withheld = events.named("hedge_withheld")
    assert len(withheld) == 30 - hedged and {line.cause for line in withheld} == {"budget used up"}
    slow = [asyncio.create_task(rig.run(duration_s=60.0, left_s=90.0)) for _ in range(16)]
    await asyncio.sleep(20.0)
    with pytest.raises(Unavailable) as raised:
        await rig.gate.enter(rig.request(left_s=5.0))
    assert raised.value.detail == RefusalCause.ESTIMATE.value
    await asyncio.gather(*slow)


@virtual
async def test_a_third_slow_keeps_the_limit_and_hedges_within_the_budget():
    rig = Rig(back_ends=3, slots=4)

    async def client(number):
        for turn in range(50):
            await rig.run(duration_s=0.4 if (number + turn) % 3 == 0 else 0.1)

    await asyncio.gather(*(client(number) for number in range(12)))
    assert rig.state.limit.requests == 12, "a mix of durations is no rise of the latency"
    permit = await rig.gate.enter(rig.request())
    assert permit.may_hedge("b0")
    permit.release()


@virtual
async def test_no_hedge_is_sent_while_others_wait_and_a_hedge_holds_a_place():
    rig = Rig(slots=2)
    first = await rig.gate.enter(rig.request())
    assert first.may_hedge("b0") and rig.state.running == 2
    waiting = rig.enter()
    await settle()
    with LoggedEvents() as events:
        assert not first.may_hedge("b0")
    assert events.named("hedge_withheld")[0].cause == "others wait"
    first.release()
    (await waiting).release()
    assert rig.state.running == 0


@virtual
async def test_after_a_suspension_those_whose_time_is_over_are_refused_and_the_others_wait():
    """Timers stand still while the machine is suspended, deadlines do not.

    Without a new judgement a request whose deadline passed meanwhile would be held, and then sent.
    """
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request(left_s=300.0))
    short, long = rig.enter("short", left_s=30.0), rig.enter("long", left_s=300.0)
    await settle()
    rig.suspended_s += 60.0
    rig.gate.judge_anew()
    await settle()
    assert short.done() and isinstance(short.exception(), Unavailable)
    assert not long.done()
    permit.release()
    (await long).release()


@virtual
async def test_a_request_that_is_too_late_when_its_turn_comes_is_not_sent():
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request(left_s=300.0))
    waiting = rig.enter(left_s=30.0)
    await settle()
    rig.suspended_s += 60.0
    permit.release()
    with pytest.raises(Unavailable):
        await waiting
    assert rig.state.running == 0


@virtual
async def test_cancelled_waiters_leave_at_once():
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request())
    waiting = [rig.enter(body=b"x" * 10) for _ in range(5)]
    await settle()
    assert (rig.gate.waiting_total(), rig.state.line.size_bytes) == (5, 50)
    with LoggedEvents() as events:
        for task in waiting[:4]:
            task.cancel()
        await settle()
    assert (rig.gate.waiting_total(), rig.state.line.size_bytes) == (1, 10)
    assert {line.outcome for line in events.named("request_queued")} == {"cancelled"}
    permit.release()
    (await waiting[4]).release()


@virtual
async def test_thousand_callers_may_go_in_one_turn_together_with_the_one_that_runs():
    """A cancelled waiter stays in the line until its task runs.

    If the place of the one that ran is offered to it and comes back, which offers it to the next
    one, each cancelled waiter adds a level of recursion.
    """
    rig = Rig(slots=1)
    tasks = [asyncio.create_task(rig.run(f"q{number}", left_s=2000.0)) for number in range(1000)]
    await settle()
    assert rig.gate.waiting_total() > 500
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    unexpected = [
        each for each in results if not isinstance(each, asyncio.CancelledError | Unavailable)
    ]
    assert not unexpected
    assert rig.state.running == rig.gate.waiting_total() == 0


@virtual
async def test_a_displaced_request_is_refused_at_once():
    """One that is only taken from the line would be held until its caller gives up."""
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request())
    rig.state.line = WaitingLine(lambda _priority: ArrivalOrder(), max_entries=2)
    large = [rig.enter(f"q{number}", tenant="large") for number in range(2)]
    await settle()
    small = rig.enter("small", tenant="small")
    await settle()
    assert [task.done() for task in (*large, small)] == [False, True, False]
    assert large[1].exception().detail == RefusalCause.DISPLACED.value
    permit.release()
    for task in (large[0], small):
        (await task).release()


@virtual
async def test_a_caller_that_goes_as_its_place_is_granted_gives_the_place_back():
    """A place is granted by setting a future; its task may be cancelled before it sees the result.

    The place would then be lost for ever, and with it a part of the limit.
    """
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request())
    waiting = rig.enter()
    await settle()
    permit.release()
    waiting.cancel()
    await settle()
    assert waiting.cancelled() and rig.state.running == 0


@virtual
async def test_a_waiter_is_refused_when_its_typical_duration_no_longer_fits_not_at_its_deadline():
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request())
    waiting = rig.enter(left_s=4.0)
    with pytest.raises(Unavailable):
        await waiting
    assert rig.loop.time() == pytest.approx(3.0, abs=0.01)
    permit.release()


@virtual
async def test_nobody_is_refused_while_a_slot_is_known_to_be_free_and_nothing_waits():
    rig = Rig(slots=4)
    permits = [await rig.gate.enter(rig.request())]
    rig.state.limit.record_rejection(0.0, 0.0)
    rig.state.limit.record_rejection(0.0, 0.0)
    rig.state.limit.record_rejection(0.0, 0.0)
    assert rig.state.limit.requests == 1
    permits.append(await rig.gate.enter(rig.request(left_s=0.01)))
    for permit in permits:
        permit.release()


@virtual
async def test_a_full_back_end_lowers_the_limit_and_success_raises_it_again():
    rig = Rig(slots=10)
    await rig.run()
    with LoggedEvents() as events:
        rig.gate.record_full(SERVICE)
        assert rig.state.limit.requests == 7
        await asyncio.gather(*(rig.run() for _ in range(100)))
    assert rig.state.limit.requests == 10
    assert [line.cause for line in events.named("concurrency_limit_changed")][0] == "rejected"


@virtual
async def test_rejections_before_anything_was_answered_count_once_too():
    """At the start of a burst no duration is known yet, and many attempts are rejected at once.

    If the pause between two decreases were the typical duration of nothing, the limit would fall
    to one request.
    """
    rig = Rig(slots=100)
    permits = [await rig.gate.enter(rig.request()) for _ in range(50)]
    for _ in permits:
        rig.gate.record_full(SERVICE)
    assert rig.state.limit.requests == 70
    for permit in permits:
        permit.release(may_have_run=False)


@virtual
async def test_after_a_moment_of_full_back_ends_the_limit_is_back_within_ten_durations():
    """A burst of others fills all back ends for some seconds and brings the limit down to one.

    If it then rose by one a round only, callers would be refused for many rounds before back ends
    that report free slots.
    """
    rig = Rig(back_ends=10, slots=8)
    await rig.run(duration_s=0.1)
    for _ in range(20):
        rig.gate.record_full(SERVICE)
        await asyncio.sleep(0.2)
    assert rig.state.limit.requests == 1
    callers = [asyncio.create_task(rig.run(duration_s=0.1, left_s=50.0)) for _ in range(400)]
    await asyncio.sleep(10 * 0.1)
    assert rig.state.limit.requests >= 40
    await asyncio.gather(*callers)


@virtual
async def test_a_stream_holds_its_place_until_its_body_ends_even_if_nobody_reads_it():
    """The `finally` of a generator that was never started does not run when it is closed."""

    async def chunks():
        yield b"1"
        yield b"2"

    rig = Rig(slots=2)
    unread, read = [
        HeldBody(chunks(), (await rig.gate.enter(rig.request())).release) for _ in range(2)
    ]
    assert rig.state.running == 2
    assert [chunk async for chunk in read] == [b"1", b"2"]
    assert rig.state.running == 1
    await unread.aclose()
    assert rig.state.running == 0


@virtual
async def test_a_request_waits_on_if_its_duration_turns_out_shorter_than_was_assumed():
    """Its patience is that of now, not the one of its arrival: it can be answered until 2.9 s."""
    rig = Rig(slots=1)
    stream = await rig.gate.enter(rig.request())
    waiting = rig.enter("q1", left_s=3.0)
    await asyncio.sleep(0.1)
    stream.record_answer()  # the head of a stream, whose body still occupies the place
    await asyncio.sleep(2.4)
    assert not waiting.done()
    stream.release()
    (await waiting).release()


@virtual
async def test_a_waiter_whose_duration_shrank_is_refused_when_the_shorter_one_does_not_fit():
    rig = Rig(slots=1)
    stream = await rig.gate.enter(rig.request())
    waiting = rig.enter("q1", left_s=3.0)
    await asyncio.sleep(0.1)
    stream.record_answer()
    await asyncio.sleep(2.81)
    with pytest.raises(Unavailable):
        await waiting
    stream.release()


@virtual
async def test_a_lost_back_end_makes_the_last_of_a_large_tenant_too_late_not_the_small_tenant():
    """Tenants take turns, so the only request of the small one is second, whatever its deadline."""
    rig = Rig(back_ends=10, slots=1)
    for _ in range(10):
        await rig.gate.enter(rig.request())
    large = [rig.enter(f"q{number}", left_s=9.9, tenant="large") for number in range(85)]
    small = rig.enter("small", left_s=9.95, tenant="small")
    await settle()
    assert not any(task.done() for task in [*large, small])
    for number in range(5):
        rig.registry.remove(f"b{number}")
    await settle()
    assert sum(task.done() for task in large) > 30
    assert not small.done()


@virtual
async def test_refusing_a_whole_line_of_many_tenants_counts_no_place_for_each_refusal():
    """A place costs time in the tenants that wait; counted for each refusal it would be squared."""
    for has_suspension in (True, False):
        rig, counted = Rig(slots=1), []
        permit = await rig.gate.enter(rig.request())
        tasks = [rig.enter(f"q{n}", left_s=1e5, tenant=f"t{n}") for n in range(500)]
        await settle()

        class CountingLine(WaitingLine):
            def place_of(self, tenant, priority, counted=counted):
                counted.append(tenant)
                return super().place_of(tenant, priority)

        rig.state.line.__class__ = CountingLine
        if has_suspension:
            rig.suspended_s += 2e5
            rig.gate.judge_anew()
        else:
            rig.registry.remove("b0")
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(result, Unavailable) for result in results)
        assert not counted
        permit.release()


@virtual
async def test_absurd_slots_of_one_back_end_neither_take_those_of_others_nor_fail():
    for absurd in (-5, 10**400):
        rig = Rig(back_ends=2, slots=2)
        rig.add_back_end("absurd", slots=absurd)
        permits = [await rig.gate.enter(rig.request()) for _ in range(4)]
        for permit in permits:
            permit.record_answer()
            permit.release()
    only = Rig(back_ends=0)
    only.add_back_end("negative", slots=-5)
    with pytest.raises(Unavailable):
        await only.gate.enter(only.request())


@virtual
async def test_a_place_that_appears_while_streams_run_is_given_to_who_waits():
    """The head of a stream raises the limit long before the stream gives its place back."""
    rig = Rig(slots=2)
    streams = [await rig.gate.enter(rig.request()) for _ in range(2)]
    rig.gate.record_full(SERVICE)
    streams.pop().release()
    assert rig.state.limit.requests == 1 and rig.state.is_limit_in_use()
    waiting = rig.enter("q1")
    await settle()
    assert not waiting.done()
    streams[0].record_answer()
    assert rig.state.limit.requests == 2
    await settle()
    assert waiting.done()
    waiting.result().release()
    streams[0].release()


@virtual
async def test_who_has_gone_is_logged_as_gone_and_not_as_refused_too():
    rig = Rig(slots=1)
    permit = await rig.gate.enter(rig.request())
    waiting = rig.enter("gone")
    await settle()
    with LoggedEvents() as events:
        waiting.cancel()
        rig.registry.remove("b0")
        await settle()
    assert [line.outcome for line in events.named("request_queued")] == ["cancelled"]
    assert not events.named("request_rejected_early")
    permit.release()
