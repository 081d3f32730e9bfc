from crankseam.usage.clock import JUMP_ACCEPTED_AFTER_S, TrueClock


class Clocks:
    """Both clocks of a machine; `offset_s` is the time of day minus the monotonic time."""

    def __init__(self):
        self.monotonic_s = 100.0
        self.offset_s = 1_000_000.0
        self.clock = TrueClock(5.0, self.wall, self.monotonic)

    def wall(self):
        return self.monotonic_s + self.offset_s

    def monotonic(self):
        return self.monotonic_s

    def advance(self, seconds):
        for _ in range(int(seconds)):
            self.monotonic_s += 1.0
            self.clock.update_offset()


def test_windows_follow_the_time_of_day():
    clocks = Clocks()
    assert clocks.clock.current_window() == int(1_000_100.0 // 5)
    assert clocks.clock.window_of(99.0) == int(1_000_099.0 // 5)
    assert clocks.clock.seconds_since_end(clocks.clock.current_window()) == -5.0


def test_drift_is_followed():
    clocks = Clocks()
    for _ in range(30):
        clocks.offset_s += 0.05
        clocks.advance(1)
    assert clocks.clock.now() == clocks.wall()


def test_a_jump_that_returns_changes_nothing():
    for jump_s in (-7.0, 7.0):
        clocks = Clocks()
        clocks.offset_s += jump_s
        clocks.advance(JUMP_ACCEPTED_AFTER_S - 2)
        assert clocks.clock.now() == clocks.monotonic_s + 1_000_000.0
        clocks.offset_s -= jump_s
        clocks.advance(JUMP_ACCEPTED_AFTER_S)
        assert clocks.clock.now() == clocks.wall()


def test_a_time_of_day_that_stays_is_believed():
    clocks = Clocks()
    clocks.offset_s += 7.0
    clocks.advance(JUMP_ACCEPTED_AFTER_S + 2)
    assert clocks.clock.now() == clocks.wall()
