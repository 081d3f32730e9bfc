import pytest

from crankseam.quarantine import table as table_module
from crankseam.quarantine.model import SuspectRecord
from crankseam.quarantine.table import MAX_SUSPECTS, SuspectTable


class Clock:
    """Monotonic clock that a test advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(table_module.time, "monotonic", clock)
    return clock


def held(length=4):
    return SuspectRecord(["b1", "b2"], body_bytes=length)


def suspected(length=4):
    return SuspectRecord(["b1"], body_bytes=length)


def test_a_body_of_another_length_needs_no_digest():
    table = SuspectTable()
    assert not table.has_body_length(0)
    table.apply_stored("f", suspected(7), 5)
    assert table.has_body_length(7) and not table.has_body_length(8)
    table.apply_stored("g", suspected(7), 6)
    table.remove("f")
    assert table.has_body_length(7)
    table.remove("g")
    assert not table.has_body_length(7)


def test_an_older_state_of_the_store_changes_nothing():
    table = SuspectTable()
    table.apply_stored("f", held().with_probes(1), 9)
    table.apply_stored("f", held(), 8)
    assert table.find("f").record.probes == 1


def test_an_end_that_the_store_has_not_taken_stays():
    table = SuspectTable()
    table.apply_unstored("f", SuspectRecord(["b1"]))
    table.apply_stored("f", SuspectRecord(["b2"]), 5)
    assert set(table.find("f").record.ended) == {"b1", "b2"}


def test_what_a_peer_tells_again_does_not_hold_it_longer(clock):
    table = SuspectTable()
    table.apply_stored("f", held(), 5)
    clock.now += 2.0
    table.apply_unstored("f", held())
    assert table.find("f").held_for_s() == pytest.approx(1.0)


def test_what_only_a_peer_told_is_forgotten(clock):
    table = SuspectTable()
    table.apply_unstored("f", held())
    assert table.find("f") is not None
    clock.now += 61.0
    assert table.find("f") is None and not len(table)


def test_a_thousand_others_push_out_what_is_needed_least(clock):
    table = SuspectTable()
    table.apply_stored("held", held(), 1)
    table.apply_stored("old", suspected(), 2)
    for number in range(MAX_SUSPECTS - 2):
        clock.now += 0.001
        assert table.apply_unstored(f"f{number}", suspected()) == []
    assert table.apply_unstored("new", suspected()) == ["old"]
    assert table.apply_unstored("newer", suspected()) == [], "the store never held f0"
    assert len(table) == MAX_SUSPECTS
    assert table.find("held") is not None and table.find("f0") is None
    assert table.held_count() == 1
