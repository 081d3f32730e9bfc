"""Answers the load of a tenant whose jobs run at several processes."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from crankseam.coordination.interface import Entry
from crankseam.fairness.open_work import OpenWork
from crankseam.jobs.demand import OpenJob
from tests.fairness.factories import open_entry

JOBS = st.lists(
    st.tuples(
        st.sampled_from(["j1", "j2", "j3"]),
        st.one_of(
            st.none(),
            st.builds(
                OpenJob,
                st.sampled_from(["m", "n"]),
                st.integers(-1, 9),
                tenant=st.sampled_from(["", "a", "b"]),
            ),
        ),
    ),
    max_size=30,
)


@given(JOBS)
def test_counts_are_those_of_the_jobs_that_are_open(changes):
    work, jobs = OpenWork(), {}
    for key, job in changes:
        work.state_changed(key, None if job is None else open_entry(key, job))
        jobs[key] = job
    known = [job for job in jobs.values() if job is not None and job.items > 0]
    for tenant in ("a", "b"):
        for model in ("m", "n"):
            own = [job for job in known if job.tenant == tenant]
            here = sum(job.items for job in own if job.model == model)
            assert work.items(tenant, model) == here
            total = sum(job.items for job in own)
            assert work.total_items(tenant) == total
            assert work.items_elsewhere(tenant, model) == total - here
    assert work.total_items("") == 0, "a key without a tenant counts for none"


def test_keys_of_an_earlier_build_and_unreadable_ones_count_for_no_tenant():
    work = OpenWork()
    earlier = msgspec.msgpack.encode({"model": "m", "items": 60, "min_version": 1})
    for key, value in (("j1", earlier), ("j2", b"\xc1"), ("j3", b"")):
        work.state_changed(key, Entry(key, value, 1, 1))
        work.state_changed(key, None)
        work.state_changed(key, Entry(key, value, 1, 1))
    assert work.total_items("") == 0 and work.items_elsewhere("a", "m") == 0
