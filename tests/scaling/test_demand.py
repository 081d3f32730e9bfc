from hypothesis import given
from hypothesis import strategies as st

from crankseam.scaling.demand import LOWERED_AFTER_S, SteadyCount, need_of


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def test_before_any_work_is_known_the_first_count_is_held():
    assert need_of([None, None], 8) is None
    assert need_of([None, 9, 8], 8) == 3
    assert SteadyCount(45).follow(None) == 45


def test_a_need_is_followed_up_at_once_and_down_after_a_while():
    clock = Clock()
    need = SteadyCount(0, clock)
    assert need.follow(40) == 40
    assert need.follow(43) == 43
    clock.now_s += 1.0
    assert need.follow(20) == 43
    clock.now_s += LOWERED_AFTER_S / 2
    assert need.follow(30) == 43
    clock.now_s += LOWERED_AFTER_S / 2
    assert need.follow(25) == 30, "the highest of the while"


@given(st.lists(st.integers(20, 40), min_size=1, max_size=100))
def test_a_need_that_wavers_within_a_while_never_lowers_the_count(needs):
    clock = Clock()
    need = SteadyCount(0, clock)
    held = 0
    for one in [40, *needs]:
        clock.now_s += LOWERED_AFTER_S / 200
        followed = need.follow(one)
        assert followed >= held
        held = followed


def test_the_first_need_that_is_known_takes_no_sampler_away_at_once():
    clock = Clock()
    need = SteadyCount(45, clock)
    assert need.follow(25) == 45
    clock.now_s += LOWERED_AFTER_S + 1.0
    assert need.follow(25) == 25
