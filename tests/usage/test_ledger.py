from hypothesis import given
from hypothesis import strategies as st

from crankseam.usage.ledger import UsageLedger, decode_ledger, encode_ledger
from crankseam.usage.messages import UsageCounts

COUNTS_MESSAGES = st.builds(
    UsageCounts,
    st.sampled_from(["p/1", "p/2", "q/1"]),
    st.dictionaries(
        st.integers(0, 3),
        st.dictionaries(st.sampled_from("ab"), st.integers(1, 5), min_size=1),
        max_size=3,
    ),
)


def settled(messages):
    ledger = UsageLedger(0)
    for one in messages:
        ledger.merge_counts(one)
    for _ in range(4):
        ledger.settle_next()
    return ledger.settled


@given(st.lists(COUNTS_MESSAGES, max_size=8), st.randoms())
def test_order_and_repetition_change_no_report(messages, random):
    again = [*messages, *random.sample(messages, len(messages) // 2)]
    random.shuffle(again)
    assert settled(messages) == settled(again)


@given(st.lists(COUNTS_MESSAGES, max_size=8))
def test_a_stored_ledger_merged_with_early_counts_equals_one_ledger(messages):
    half = len(messages) // 2
    kept, early = UsageLedger(0), UsageLedger(0)
    for one in messages[:half]:
        kept.merge_counts(one)
    for one in messages[half:]:
        early.merge_counts(one)
    merged = decode_ledger(encode_ledger(kept))
    merged.merge_open(early)
    for _ in range(4):
        merged.settle_next()
    assert merged.settled == settled(messages)


def test_a_settled_window_never_changes_and_what_comes_later_is_counted_as_lost():
    ledger = UsageLedger(0)
    ledger.merge_counts(UsageCounts("p/1", {0: {"a": 2}}))
    ledger.settle_next()
    assert ledger.merge_counts(UsageCounts("p/1", {0: {"a": 3, "b": 1}})) == 2
    assert ledger.settled == {0: {"a": 2}}


def test_windows_that_are_too_old_are_given_up():
    ledger = UsageLedger(0)
    ledger.merge_counts(UsageCounts("p/1", {0: {"a": 2}, 5: {"a": 1}}))
    assert ledger.skip_to(3) == 2
    assert ledger.next_window == 3 and list(ledger.open) == [5]
    assert ledger.skip_to(1) == 0 and ledger.next_window == 3


def test_new_counts_after_the_report_are_late_and_repeated_counts_are_not():
    ledger = UsageLedger(0)
    message = UsageCounts("p/1", {0: {"a": 2}})
    ledger.merge_counts(message)
    ledger.settle_next()
    ledger.mark_reported(0)
    assert ledger.settled == {}
    assert ledger.merge_counts(message) == 0
    assert ledger.merge_counts(UsageCounts("p/2", {0: {"a": 3}})) == 1
