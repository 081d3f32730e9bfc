from hypothesis import given
from hypothesis import strategies as st

from crankseam.scaling.demand import STABILIZATION_WINDOW_S, StabilizedCount, required_samplers


class ManualClock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def test_before_any_work_is_known_the_first_count_is_held():
    assert required_samplers([None, None], 8) is None
    assert required_samplers([None, 9, 8], 8) == 3
    assert StabilizedCount(45).update(None) == 45


def test_a_need_is_followed_up_at_once_and_down_after_a_while():
    clock = ManualClock()
    need = StabilizedCount(0, clock)
    assert need.update(40) == 40
    assert need.update(43) == 43
    clock.now_s += 1.0
    assert need.update(20) == 43
    clock.now_s += STABILIZATION_WINDOW_S / 2
    assert need.update(30) == 43
    clock.now_s += STABILIZATION_WINDOW_S / 2
    assert need.update(25) == 30, "the highest value of the window"


@given(st.lists(st.integers(20, 40), min_size=1, max_size=100))
def test_a_need_that_wavers_within_a_while_never_lowers_the_count(needs):
    clock = ManualClock()
    need = StabilizedCount(0, clock)
    held = 0
    for count in [40, *needs]:
        clock.now_s += STABILIZATION_WINDOW_S / 200
        updated = need.update(count)
        assert updated >= held
        held = updated


def test_the_first_need_that_is_known_takes_no_sampler_away_at_once():
    clock = ManualClock()
    need = StabilizedCount(45, clock)
    assert need.update(25) == 45
    clock.now_s += STABILIZATION_WINDOW_S + 1.0
    assert need.update(25) == 25
