"""Shares of a limit: how much a node requests, and that the sum never exceeds the limit."""

from hypothesis import given
from hypothesis import strategies as st

from crankseam.controllers.limit_shares import (
    MIN_HEADROOM,
    LimitShare,
    ShareTable,
    requested_amount,
)

TERM = 5.0
MARGIN = 0.5


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_an_idle_node_asks_for_the_smallest_headroom():
    assert requested_amount(0, wants_more=False, others_want_more=False) == MIN_HEADROOM


def test_a_node_that_was_refused_one_asks_for_twice_the_headroom():
    assert requested_amount(10, wants_more=False, others_want_more=False) == 15
    assert requested_amount(10, wants_more=True, others_want_more=True) == 20


def test_while_another_wants_more_a_node_that_does_not_keeps_no_headroom():
    assert requested_amount(10, wants_more=False, others_want_more=True) == 10


def renewed(share, table, requested_at):
    table = share.with_renewal(table)
    share.prepare_renewal(table.shares[share.holder].amount)
    share.confirm(table, requested_at)
    return table


def test_a_share_that_is_not_renewed_is_taken_back_a_margin_after_its_holder_stopped():
    clock = Clock()
    first, second = (LimitShare(name, 2, TERM, MARGIN, clock) for name in ("a", "b"))
    first.in_flight = 1
    table = renewed(first, ShareTable(), clock.now)
    assert first.amount() == 2
    table = renewed(second, table, clock.now)
    assert second.amount() == 0
    clock.now += TERM + MARGIN
    assert first.amount() == 0
    assert renewed(second, table, clock.now).shares["b"].amount == 0
    clock.now += 0.1
    assert renewed(second, table, clock.now).shares["b"].amount == 1


def lost(share, table):
    """Renew a share so that the renewal is agreed on but its confirmation is lost."""
    table = share.with_renewal(table)
    share.prepare_renewal(table.shares[share.holder].amount)
    return table


def test_a_renewal_after_a_lost_one_shows_that_its_holder_lives():
    """Guards against a renewal that repeats the sequence of a lost one: another node would take the
    holder for dead and reclaim its share while the holder may still use it."""
    clock, total = Clock(), 4
    first, second = (LimitShare(name, total, TERM, MARGIN, clock) for name in ("a", "b"))
    table = lost(second, ShareTable())
    table = renewed(first, table, clock.now)
    second.try_acquire()
    clock.now += 2.0
    table = renewed(second, table, clock.now)
    first.in_flight = 2
    clock.now += 4.0
    renewed(first, table, clock.now)
    assert first.amount() + second.amount() <= total


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["renew", "lose", "start", "end"]),
            st.integers(0, 2),
            st.floats(0.0, 3.0),
        ),
        max_size=60,
    )
)
def test_the_shares_in_use_never_pass_the_limit(steps):
    """Nodes start and stop renewing at any time, and confirmations of renewals may be lost."""
    clock, total = Clock(), 4
    shares = [LimitShare(f"node-{n}", total, TERM, MARGIN, clock) for n in range(3)]
    table = ShareTable()
    for kind, index, pause in steps:
        clock.now += pause
        share = shares[index]
        if kind == "start":
            share.try_acquire()
        elif kind == "end" and share.in_flight:
            share.release()
        elif kind == "renew":
            table = renewed(share, table, clock.now)
        elif kind == "lose":
            table = lost(share, table)
        assert sum(each.amount() for each in shares) <= total
