"""A less urgent job moves while more urgent ones keep all places taken."""

from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs.aging import AGED_PLACE_INTERVAL, AgingQuota, WaitingLevel, aged_request

URGENT, OTHER, LEAST = 0, 5, 7


def waiting(number, level, *rank):
    return WaitingLevel((*map(float, rank),), number, level)


def test_the_level_that_has_waited_longest_gets_the_place_by_its_own_order():
    first = waiting(9, URGENT, 0)
    others = [waiting(3, OTHER, 5, 2), waiting(4, OTHER, 5, 1), waiting(5, LEAST, 6)]
    assert aged_request(URGENT, [first, *others]) == others[1]


def test_items_that_no_trainer_waits_for_do_not_age():
    assert aged_request(URGENT, [waiting(1, None, 9)]) is None
    assert aged_request(None, [waiting(1, OTHER, 9)]) is None


@given(st.lists(st.integers(0, 3), max_size=200))
def test_one_place_in_an_interval_goes_by_age(services):
    quota, since = AgingQuota(), {}
    for service in map(str, services):
        by_age = quota.is_due(service)
        since[service] = 1 if service not in since else since[service] + 1
        assert by_age == (since[service] % AGED_PLACE_INTERVAL == 0)
        quota.granted(service, by_age)
