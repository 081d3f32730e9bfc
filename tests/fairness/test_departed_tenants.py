"""Answers the load of a tenant that leaves while it has a backlog."""

import logging

from crankseam.fairness.departed_tenants import MAX_DEPARTED, DepartedTenants
from crankseam.fairness.open_work import OpenWork
from crankseam.jobs.demand import OpenJob
from crankseam.serving.routes import Configuration
from tests.fairness.factories import configuration, open_entry


class Watched:
    def __init__(self):
        self.work = OpenWork()
        self.departed = DepartedTenants(self.work)
        self.configure = self.departed.configured
        self.left = []
        self.departed.on_left.append(self.left.append)


def test_a_tenant_without_a_key_in_force_has_left_until_it_has_one_again(caplog):
    caplog.set_level(logging.INFO)
    watched = Watched()
    watched.work.state_changed("j", open_entry("j", OpenJob("m", 60, tenant="b")))
    assert not watched.departed.has_left("b"), "no configuration is known"
    watched.configure(configuration(1, "a", "b"))
    watched.configure(configuration(2, "a"))
    assert watched.departed.has_left("b") and not watched.departed.has_left("a")
    watched.configure(configuration(3, "a"))
    assert watched.left == ["b"]
    (line,) = [one for one in caplog.records if one.msg == "tenant_share_freed"]
    assert (line.tenant, line.version, line.open_items) == ("b", 2, 60)
    watched.configure(configuration(4, "a", "b"))
    assert not watched.departed.has_left("b")


def test_a_tenant_that_this_process_never_saw_has_not_left():
    """Guards against an old view: a job of a tenant that only a newer configuration has is handed
    to this process before that configuration arrives."""
    watched = Watched()
    watched.configure(configuration(1, "a"))
    assert not watched.departed.has_left("newcomer")


def test_where_callers_need_no_key_any_more_nobody_has_left():
    watched = Watched()
    watched.configure(configuration(1, "a", "b"))
    watched.configure(configuration(2, "a"))
    watched.configure(Configuration(3))
    assert watched.left == ["b"] and not watched.departed.has_left("b")
    assert not watched.departed.has_left("a")


def test_memory_is_bounded():
    watched = Watched()
    names = [str(number) for number in range(MAX_DEPARTED + 10)]
    watched.configure(configuration(1, *names))
    watched.configure(configuration(2, "a"))
    assert sum(watched.departed.has_left(name) for name in names) == MAX_DEPARTED
