"""Slow readers and senders while others wait for memory."""

import logging

from crankseam.memory.budget import MemoryKind
from crankseam.memory.guard import SHORT_LOG_INTERVAL_S, MemoryGuard
from crankseam.memory.limits import MemoryLimits
from crankseam.memory.stalled import STALLED_READER_S, longest_stalled
from crankseam.memory.transfers import Transfer
from tests.support.clock import FakeClock

ANSWER = MemoryKind.ANSWER


def transfer(moved_at):
    return Transfer("r", ANSWER, lambda: 0, 10, lambda: None, moved_at)


def test_the_longest_stalled_goes_first_and_only_while_memory_is_short():
    moving, stalled, longest = transfer(9.0), transfer(6.0), transfer(5.0)
    transfers = [moving, stalled, longest]
    assert longest_stalled(transfers, True, 10.0) is longest
    assert longest_stalled(transfers, False, 10.0) is None
    assert longest_stalled([moving], True, 10.0) is None
    assert longest_stalled([], True, 10.0) is None
    assert longest_stalled([moving], True, 9.0 + STALLED_READER_S) is moving


class Day:
    """A guard of 100 bytes with a clock, the positions of two readers, and who was cut off."""

    def __init__(self):
        self.clock = FakeClock()
        self.guard = MemoryGuard(MemoryLimits(100, 60), self.clock.monotonic)
        self.positions = {"slow": 0, "moving": 0}
        self.cut_off = []

    def watch(self, name):
        return self.guard.transfers.watched(
            name, ANSWER, lambda: self.positions[name], 50, lambda: self.cut_off.append(name)
        )

    def advance(self, seconds):
        self.clock.now += seconds
        self.guard.check()


def test_a_reader_that_takes_nothing_is_cut_off_and_one_that_takes_a_little_is_not(caplog):
    caplog.set_level(logging.INFO)
    day = Day()
    budget = day.guard.room.budget
    with day.watch("slow"), day.watch("moving"), budget.reserve(50, ANSWER) as held:
        day.positions["slow"] = 20
        day.advance(0.1)
        for _ in range(5):
            day.positions["moving"] += 1
            day.advance(STALLED_READER_S / 2)
        assert day.cut_off == [], "there is room for all"
        held.grow(50)
        day.positions["moving"] += 1
        day.advance(0.1)
    assert day.cut_off == ["slow"]
    (line,) = [record for record in caplog.records if record.msg == "reader_cut_off"]
    assert (line.request, line.kind, line.unsent_bytes) == ("slow", "answer", 30)
    assert line.stalled_s >= STALLED_READER_S
    with budget.reserve(100, ANSWER):
        day.advance(0.1)
    assert day.cut_off == ["slow"], "its transfer is over"


def test_a_shortage_is_logged_at_most_once_in_its_interval_with_what_was_refused(caplog):
    day = Day()
    with day.guard.room.budget.reserve(100, ANSWER):
        for _ in range(20):
            day.guard.room.refused += 1
            day.advance(SHORT_LOG_INTERVAL_S / 10)
    day.advance(SHORT_LOG_INTERVAL_S)
    day.advance(SHORT_LOG_INTERVAL_S)
    lines = [record for record in caplog.records if record.msg == "memory_short"]
    assert 2 <= len(lines) <= 4
    assert sum(line.refused for line in lines) == 20
    assert lines[0].used_bytes == lines[0].limit_bytes == 100
