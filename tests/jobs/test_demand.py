from crankseam.jobs import demand as module
from crankseam.jobs.demand import PEAK_RETENTION_S, ModelDemand, OpenJob, decode_open_job
from tests.support.clock import FakeClock


def test_the_most_items_open_at_one_moment_count_for_a_while(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(module, "time", clock)
    demand = ModelDemand()
    assert demand.peak_open_items("m") is None
    demand.opened("j1", OpenJob("m", 60))
    demand.opened("j2", OpenJob("m", 40))
    demand.opened("j3", OpenJob("other", 7))
    demand.ended("j1")
    demand.ended("never seen")
    assert demand.peak_open_items("m") == 100 and demand.peak_open_items("other") == 7
    clock.now += PEAK_RETENTION_S + 1.0
    demand.opened("j4", OpenJob("m", 5))
    assert demand.peak_open_items("m") == 45


def test_a_value_that_can_not_be_read_tells_nothing():
    assert decode_open_job(b"") == decode_open_job(b"\xc1") == OpenJob()


def test_the_newest_jobs_oldest_version_counts_whatever_job_ends_first():
    demand = ModelDemand()
    assert demand.min_usable_version("m") is None
    demand.opened("j2", OpenJob("m", 5, min_version=4))
    demand.opened("j1", OpenJob("m", 5, min_version=3))
    demand.ended("j2")
    assert demand.min_usable_version("m") == 4 and demand.min_usable_version("other") is None


def test_the_work_of_a_model_uses_the_newest_known_item_seconds():
    demand = ModelDemand()
    demand.opened("j1", OpenJob("m", 10))
    assert demand.required_slot_seconds("m") is None
    demand.opened("j2", OpenJob("m", 10, item_s=1.5))
    demand.ended("j1")
    demand.opened("j3", OpenJob("m", 10))
    assert demand.required_slot_seconds("m") == 30.0, "the peak was twenty open items"
