"""Answers the load of tenants whose items wait in this process while others run elsewhere."""

import math

from crankseam.fairness.item_order import MAX_QUEUES
from crankseam.jobs.demand import OpenJob
from tests.fairness.factories import Shares, configuration, open_entry


def grants(shares, tenants, count):
    """Tenants of successive grants of one second each, while all of them wait."""
    granted = []
    for _ in range(count):
        tenant = min(tenants, key=lambda one: shares.fairness.start_of(one, "m"))
        shares.fairness.granted(tenant, "m", 1.0)
        granted.append(tenant)
    return granted


def test_at_equal_virtual_time_a_tenant_with_open_work_elsewhere_goes_behind():
    shares = Shares("many", "few", "none")
    for tenant, items in (("many", 600), ("few", 6)):
        shares.work.state_changed(tenant, open_entry(tenant, OpenJob("n", items, tenant=tenant)))
    assert grants(shares, ["many", "few", "none"], 3) == ["none", "few", "many"]


def test_a_tenant_with_work_at_several_processes_gets_one_share_in_all():
    shares = Shares("a", "b")
    for key, model, tenant in (("1", "m", "a"), ("2", "n", "a"), ("3", "m", "b")):
        shares.work.state_changed(key, open_entry(key, OpenJob(model, 60, tenant=tenant)))
    granted = grants(shares, ["a", "b"], 300)
    assert abs(granted.count("a") - 100) <= 1


def test_while_the_keys_of_open_jobs_are_missing_tenants_share_equally():
    shares = Shares("a", "b")
    assert abs(grants(shares, ["a", "b"], 100).count("a") - 50) <= 1


def test_models_and_priorities_share_separately():
    shares = Shares("a", "b")
    shares.fairness.granted("a", "m", 50.0, priority=1.0)
    fresh = shares.fairness.start_of("b", "m", 1.0)
    assert shares.fairness.start_of("a", "m", 1.0) > fresh
    assert shares.fairness.start_of("a", "m", 0.0) == shares.fairness.start_of("b", "m", 0.0)
    assert shares.fairness.start_of("a", "n", 1.0) == shares.fairness.start_of("b", "n", 1.0)


def test_a_tenant_that_leaves_in_the_middle_frees_its_share_at_once():
    shares = Shares("a", "b", "c")
    grants(shares, ["a", "b", "c"], 30)
    shares.configure(configuration(2, "a", "c"))
    assert set(grants(shares, ["a", "b", "c"], 30)) == {"a", "c"}
    assert grants(shares, ["b"], 2) == ["b", "b"], "work conserving"
    shares.configure(configuration(3, "a", "b", "c"))
    assert abs(grants(shares, ["a", "b", "c"], 30).count("b") - 10) <= 1


def test_memory_is_bounded_with_many_models():
    shares = Shares("a")
    for number in range(10 * MAX_QUEUES):
        shares.fairness.granted("a", str(number), 1.0)
    assert len(shares.fairness._queues) == MAX_QUEUES
    assert math.isfinite(shares.fairness.start_of("a", "0"))
