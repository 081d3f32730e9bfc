"""Answers the load of a few large tenants beside many small ones."""

import math
from collections import deque

from hypothesis import given
from hypothesis import strategies as st

from crankseam.fairness.fair_queueing import MAX_WORK_S, FairQueueing

WORK_S = st.floats(0.1, 10.0)
ARRIVALS = st.lists(st.tuples(st.integers(0, 5), WORK_S), min_size=2, max_size=60)


class Line:
    """A waiting line that grants one request at a time, the earliest start first."""

    def __init__(self, order):
        self.order = order
        self.waiting = {}
        """Works of the waiting requests by tenant, in order of arrival."""

    def arrive(self, tenant, *works):
        self.waiting.setdefault(tenant, deque()).extend(works)

    def grant(self):
        tenant = min(self.waiting, key=self.order.start_of)
        work_s = self.waiting[tenant].popleft()
        if not self.waiting[tenant]:
            del self.waiting[tenant]
        self.order.charge(tenant, work_s)
        return tenant, work_s


def served_until_one_is_empty(line, tenants):
    """Grants while all of some tenants wait: a list of what each has received after each grant."""
    received, history = dict.fromkeys(tenants, 0.0), []
    while all(tenant in line.waiting for tenant in tenants):
        tenant, work_s = line.grant()
        if tenant in received:
            received[tenant] += work_s
        history.append(dict(received))
    return history


@given(
    before=ARRIVALS,
    works=st.lists(st.lists(WORK_S, min_size=1, max_size=20), min_size=2, max_size=5),
    weights=st.lists(st.floats(0.05, 1.0), min_size=6, max_size=6),
)
def test_tenants_that_wait_together_differ_by_at_most_their_largest_requests(
    before, works, weights
):
    """Over any interval while all wait. A tenant's largest request may be one that was granted
    before the interval and runs into it."""
    line = Line(FairQueueing(lambda tenant: weights[int(tenant)]))
    for tenant, work_s in before:
        line.arrive(str(tenant), work_s)
    while line.waiting:
        line.grant()
    largest_s = {
        str(number): max([*own, *(work_s for tenant, work_s in before if tenant == number)])
        / weights[number]
        for number, own in enumerate(works)
    }
    for number, own in enumerate(works):
        line.arrive(str(number), *own)
    history = [dict.fromkeys(largest_s, 0.0), *served_until_one_is_empty(line, list(largest_s))]
    scaled = [
        {tenant: moment[tenant] / weights[int(tenant)] for tenant in moment} for moment in history
    ]
    for first in range(len(scaled)):
        for last in range(first, len(scaled)):
            gain = {t: scaled[last][t] - scaled[first][t] for t in largest_s}
            for one in gain:
                for other in gain:
                    bound_s = largest_s[one] + largest_s[other]
                    assert gain[one] - gain[other] <= bound_s + 1e-6


@given(before=ARRIVALS, backlogs=st.lists(st.integers(1, 20), min_size=1, max_size=80))
def test_a_small_tenants_first_request_waits_for_at_most_one_request_of_each_other(
    before, backlogs
):
    line = Line(FairQueueing())
    for tenant, work_s in before:
        line.arrive(str(tenant), work_s)
    for number, backlog in enumerate(backlogs):
        line.arrive(f"large-{number}", *[1.0] * backlog)
    for _ in range(len(backlogs)):
        line.grant()
    line.arrive("small", 1.0)
    ahead = []
    while "small" in line.waiting:
        ahead.append(line.grant()[0])
    ahead.remove("small")
    assert len(ahead) == len(set(ahead))


def test_a_large_tenant_beside_eighty_small_ones():
    """The large tenant's backlog is there first; each small one gets its request in the next 81."""
    line = Line(FairQueueing())
    line.arrive("large", *[1.0] * 10_000)
    for _ in range(500):
        line.grant()
    small = {f"small-{number}" for number in range(80)}
    for tenant in small:
        line.arrive(tenant, 1.0)
    assert small <= {line.grant()[0] for _ in range(81)}


def test_idle_time_earns_no_credit():
    line = Line(FairQueueing())
    line.arrive("idle", 1.0)
    line.arrive("busy", *[1.0] * 1000)
    while "idle" in line.waiting or len(line.waiting["busy"]) > 500:
        line.grant()
    line.arrive("idle", *[1.0] * 100)
    granted = [line.grant()[0] for _ in range(100)]
    assert abs(granted.count("idle") - granted.count("busy")) <= 2


def test_a_small_tenant_is_not_starved_while_a_third_drives_the_virtual_time():
    """Guards against ties among tenants that the virtual time has passed: a third tenant, which
    runs at samplers that these two can't use, moves it on between any two grants, and the tie went
    to the tenant with the older backlog each time."""
    order = FairQueueing()
    granted = []
    for _ in range(40):
        order.charge("third", 50.0)
        tenant = min(["large", "small"], key=order.start_of)
        order.charge(tenant, 1.0)
        granted.append(tenant)
    assert granted.count("small") == 20


def test_memory_is_bounded_with_a_million_names():
    order = FairQueueing(max_tenants=100)
    for number in range(1_000_000):
        order.charge(str(number), 1.0)
    assert order.tenant_count() == 100


def test_a_tenant_that_is_forgotten_counts_as_new():
    order = FairQueueing()
    order.charge("gone", 100.0)
    order.forget("gone")
    order.forget("never seen")
    assert order.start_of("gone") == order.start_of("new")
    assert order.tenant_count() == 0


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.floats(), st.floats()), min_size=1, max_size=20)
)
def test_wrong_works_and_weights_leave_each_start_finite(charges):
    weights = {}
    order = FairQueueing(lambda tenant: weights[tenant])
    for tenant, work_s, weight in charges:
        weights[tenant] = weight
        before = order.start_of(tenant)
        order.charge(tenant, work_s)
        assert math.isfinite(order.start_of(tenant))
        assert before <= order.start_of(tenant) <= before + 101.0 * MAX_WORK_S
