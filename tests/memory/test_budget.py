"""Accounting under any order of reservations, growth, partial and repeated release."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from crankseam.memory.budget import BudgetFull, MemoryBudget, MemoryKind
from crankseam.memory.limits import MemoryLimits

SIZES = st.integers(0, 120)


class BudgetMachine(RuleBasedStateMachine):
    reservations = Bundle("reservations")

    def __init__(self):
        super().__init__()
        self.budget = MemoryBudget(MemoryLimits(total_bytes=100, body_bytes=60))
        self.held = []

    @rule(target=reservations, size=SIZES, kind=st.sampled_from(MemoryKind))
    def reserve(self, size, kind):
        free = self.budget.free_bytes(kind)
        try:
            reservation = self.budget.reserve(size, kind)
        except BudgetFull:
            assert size > free
            reservation = self.budget.reserve(0, kind)
        self.held.append(reservation)
        return reservation

    @rule(reservation=reservations, by=SIZES)
    def grow(self, reservation, by):
        before, free = reservation.size_bytes, self.budget.free_bytes(reservation.kind)
        try:
            reservation.grow(by)
        except BudgetFull:
            assert by > free and reservation.size_bytes == before

    @rule(reservation=reservations, size=SIZES)
    def shrink(self, reservation, size):
        reservation.shrink_to(size)
        assert reservation.size_bytes <= size or size == 0

    @rule(reservation=consumes(reservations))
    def release_twice(self, reservation):
        reservation.release()
        reservation.release()
        assert reservation.size_bytes == 0

    @invariant()
    def the_sum_is_exact_and_within_the_limits(self):
        bodies = sum(r.size_bytes for r in self.held if r.kind is MemoryKind.BODY)
        assert self.budget.used_bytes == sum(r.size_bytes for r in self.held) <= 100
        assert 0 <= bodies <= 60


TestBudgetMachine = BudgetMachine.TestCase


def test_a_broken_request_returns_its_bytes_and_a_negative_size_is_an_error():
    budget = MemoryBudget(MemoryLimits(100, 60))
    with pytest.raises(RuntimeError), budget.reserve(30, MemoryKind.BODY):
        assert budget.used_bytes == 30
        raise RuntimeError
    assert budget.used_bytes == 0
    with pytest.raises(ValueError, match="negative"):
        budget.reserve(-1, MemoryKind.BODY)


def test_it_is_short_when_bodies_or_answers_have_little_left():
    budget = MemoryBudget(MemoryLimits(100, 60))
    with budget.reserve(52, MemoryKind.BODY):
        assert not budget.is_short()
    with budget.reserve(54, MemoryKind.BODY):
        assert budget.is_short()
    with budget.reserve(90, MemoryKind.ANSWER):
        assert budget.is_short()
