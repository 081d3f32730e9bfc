import pytest

from crankseam.quarantine import table as table_module
from crankseam.quarantine.model import SuspectRecord
from crankseam.quarantine.table import MOST_SUSPECTS, SuspectTable


class Clock:
    """Monotonic time that tests move."""

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
    assert not table.may_know(0)
    table.take("f", suspected(7), 5)
    assert table.may_know(7) and not table.may_know(8)
    table.take("g", suspected(7), 6)
    table.remove("f")
    assert table.may_know(7)
    table.remove("g")
    assert not table.may_know(7)


def test_an_older_state_of_the_store_changes_nothing():
    table = SuspectTable()
    table.take("f", held().with_probes(1), 9)
    table.take("f", held(), 8)
    assert table.find("f").record.probes == 1


def test_an_end_that_the_store_has_not_taken_stays():
    table = SuspectTable()
    table.take_told("f", SuspectRecord(["b1"]))
    table.take("f", SuspectRecord(["b2"]), 5)
    assert set(table.find("f").record.ended) == {"b1", "b2"}


def test_what_a_peer_tells_again_does_not_hold_it_longer(clock):
    table = SuspectTable()
    table.take("f", held(), 5)
    clock.now += 2.0
    table.take_told("f", held())
    assert table.find("f").held_for_s() == pytest.approx(1.0)


def test_what_only_a_peer_told_is_forgotten(clock):
    table = SuspectTable()
    table.take_told("f", held())
    assert table.find("f") is not None
    clock.now += 61.0
    assert table.find("f") is None and not len(table)


def test_a_thousand_others_push_out_what_is_needed_least(clock):
    table = SuspectTable()
    table.take("held", held(), 1)
    table.take("old", suspected(), 2)
    for number in range(MOST_SUSPECTS - 2):
        clock.now += 0.001
        assert table.take_told(f"f{number}", suspected()) == []
    assert table.take_told("new", suspected()) == ["old"]
    assert table.take_told("newer", suspected()) == [], "the store never held f0"
    assert len(table) == MOST_SUSPECTS
    assert table.find("held") is not None and table.find("f0") is None
    assert table.held_count() == 1
