from crankseam.usage.clock import BELIEVED_AFTER_S, TrueClock


class Clocks:
    """A machine's two clocks; `offset_s` is the time of day less the steady time."""

    def __init__(self):
        self.steady_s = 100.0
        self.offset_s = 1_000_000.0
        self.clock = TrueClock(5.0, self.wall, self.steady)

    def wall(self):
        return self.steady_s + self.offset_s

    def steady(self):
        return self.steady_s

    def pass_s(self, seconds):
        for _ in range(int(seconds)):
            self.steady_s += 1.0
            self.clock.look()


def test_windows_follow_the_time_of_day():
    clocks = Clocks()
    assert clocks.clock.current_window() == int(1_000_100.0 // 5)
    assert clocks.clock.window_of(99.0) == int(1_000_099.0 // 5)
    assert clocks.clock.seconds_since_end(clocks.clock.current_window()) == -5.0


def test_drift_is_followed():
    clocks = Clocks()
    for _ in range(30):
        clocks.offset_s += 0.05
        clocks.pass_s(1)
    assert clocks.clock.now() == clocks.wall()


def test_a_jump_that_returns_changes_nothing():
    for jump_s in (-7.0, 7.0):
        clocks = Clocks()
        clocks.offset_s += jump_s
        clocks.pass_s(BELIEVED_AFTER_S - 2)
        assert clocks.clock.now() == clocks.steady_s + 1_000_000.0
        clocks.offset_s -= jump_s
        clocks.pass_s(BELIEVED_AFTER_S)
        assert clocks.clock.now() == clocks.wall()


def test_a_time_of_day_that_stays_is_believed():
    clocks = Clocks()
    clocks.offset_s += 7.0
    clocks.pass_s(BELIEVED_AFTER_S + 2)
    assert clocks.clock.now() == clocks.wall()
