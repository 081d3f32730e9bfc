from hypothesis import given
from hypothesis import strategies as st

from crankseam.usage.ledger import UsageLedger, decode_ledger, encode_ledger
from crankseam.usage.messages import UsageCounts

TOLD = st.builds(
    UsageCounts,
    st.sampled_from(["p/1", "p/2", "q/1"]),
    st.dictionaries(
        st.integers(0, 3),
        st.dictionaries(st.sampled_from("ab"), st.integers(1, 5), min_size=1),
        max_size=3,
    ),
)


def settled(told):
    ledger = UsageLedger(0)
    for one in told:
        ledger.take(one)
    for _ in range(4):
        ledger.settle_next()
    return ledger.settled


@given(st.lists(TOLD, max_size=8), st.randoms())
def test_order_and_repetition_change_no_report(told, random):
    again = [*told, *random.sample(told, len(told) // 2)]
    random.shuffle(again)
    assert settled(told) == settled(again)


@given(st.lists(TOLD, max_size=8))
def test_a_kept_ledger_and_one_that_was_told_more_make_one(told):
    half = len(told) // 2
    kept, early = UsageLedger(0), UsageLedger(0)
    for one in told[:half]:
        kept.take(one)
    for one in told[half:]:
        early.take(one)
    merged = decode_ledger(encode_ledger(kept))
    merged.merge_open(early)
    for _ in range(4):
        merged.settle_next()
    assert merged.settled == settled(told)


def test_a_settled_window_never_changes_and_what_comes_later_is_counted_as_lost():
    ledger = UsageLedger(0)
    ledger.take(UsageCounts("p/1", {0: {"a": 2}}))
    ledger.settle_next()
    assert ledger.take(UsageCounts("p/1", {0: {"a": 3, "b": 1}})) == 2
    assert ledger.settled == {0: {"a": 2}}


def test_windows_that_are_too_old_are_given_up():
    ledger = UsageLedger(0)
    ledger.take(UsageCounts("p/1", {0: {"a": 2}, 5: {"a": 1}}))
    assert ledger.skip_to(3) == 2
    assert ledger.next_window == 3 and list(ledger.open) == [5]
    assert ledger.skip_to(1) == 0 and ledger.next_window == 3


def test_what_comes_after_the_report_is_told_too_and_a_repetition_is_not():
    ledger = UsageLedger(0)
    told = UsageCounts("p/1", {0: {"a": 2}})
    ledger.take(told)
    ledger.settle_next()
    ledger.mark_reported(0)
    assert ledger.settled == {}
    assert ledger.take(told) == 0
    assert ledger.take(UsageCounts("p/2", {0: {"a": 3}})) == 1
