"""Who gets room first when large bodies, small ones and answers wait together."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.memory.budget import MemoryBudget, MemoryKind
from crankseam.memory.limits import MemoryLimits
from crankseam.memory.waiting import (
    MAX_PASSES,
    MAX_WAITING_BODIES,
    SMALL_BYTES,
    Waiter,
    is_refused_at_once,
    next_to_admit,
)

BODY, ANSWER = MemoryKind.BODY, MemoryKind.ANSWER
MIB = 2**20


def budget(used_bodies=0, used_answers=0):
    made = MemoryBudget(MemoryLimits(total_bytes=8 * MIB, body_bytes=6 * MIB))
    made.reserve(used_bodies, BODY)
    made.reserve(used_answers, ANSWER)
    return made


def admitted(waiters, filled):
    admission = next_to_admit(waiters, filled)
    return admission and admission.waiter


def test_an_answer_goes_before_a_body_and_growth_before_a_new_one():
    new, growth, answer = Waiter(1, BODY), Waiter(1, BODY, True), Waiter(1, ANSWER)
    assert admitted([new, growth, answer], budget()) is answer
    assert admitted([new, growth], budget()) is growth
    assert admitted([], budget()) is None


def test_bodies_that_fill_their_part_hold_up_no_answer():
    waiting_body, answer = Waiter(MIB, BODY), Waiter(2 * MIB, ANSWER)
    assert admitted([waiting_body, answer], budget(used_bodies=6 * MIB)) is answer


def test_a_large_answer_without_room_holds_up_bodies_but_small_ones():
    answer, large, small = Waiter(7 * MIB, ANSWER), Waiter(MIB, BODY), Waiter(SMALL_BYTES, BODY)
    filled = budget(used_bodies=2 * MIB)
    assert admitted([answer, large], filled) is None
    assert next_to_admit([answer, large, small], filled) == (small, [answer, large])


def test_a_large_body_is_passed_only_so_often():
    large, small = Waiter(6 * MIB, BODY), Waiter(1, BODY)
    large.passes = MAX_PASSES - 1
    assert admitted([large, small], budget(used_bodies=MIB)) is small
    large.passes = MAX_PASSES
    assert admitted([large, small], budget(used_bodies=MIB)) is None


@given(st.lists(st.tuples(st.integers(0, 9 * MIB), st.sampled_from(MemoryKind), st.booleans())))
def test_whoever_gets_room_fits(drawn):
    waiters = [Waiter(*fields) for fields in drawn]
    filled = budget(3 * MIB, MIB)
    chosen = admitted(waiters, filled)
    if chosen is not None:
        assert chosen.size_bytes <= filled.free_bytes(chosen.kind)


@pytest.mark.parametrize(
    ("size", "kind", "own", "waiting", "refused"),
    [
        (6 * MIB, BODY, 0, 0, False),
        (6 * MIB + 1, BODY, 0, 0, True),
        (6 * MIB, BODY, 1, 0, True),
        (7 * MIB, ANSWER, 0, 0, False),
        (7 * MIB, ANSWER, 2 * MIB, 0, True),
        (1, BODY, 0, MAX_WAITING_BODIES, True),
        (1, BODY, 1, MAX_WAITING_BODIES, False),
        (1, ANSWER, 0, MAX_WAITING_BODIES, False),
    ],
)
def test_what_can_never_fit_or_finds_too_many_waiting_is_refused_at_once(
    size, kind, own, waiting, refused
):
    assert is_refused_at_once(size, kind, own, waiting, budget()) is refused
