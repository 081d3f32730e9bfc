import pytest

from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.contention import Contention, services_with_ranked_jobs
from crankseam.serving.load_reports import LoadReport
from crankseam.serving.routes import Configuration, RequestKind, Route, Share
from crankseam.serving.tenants import Tenant, TenantDirectory


def route(name, priority, kind=RequestKind.JOB, services=("s",)):
    shares = tuple(Share(service, 1.0) for service in services)
    return Route(name, "h", f"/{name}/", kind, shares, 1.0, 0.1, priority=priority)


def registry(slowdown=None):
    back_ends = BackEndRegistry()
    back_ends.update(BackEndRecord("i-1", "s", "1.1.1.1:1", "z", 4))
    back_ends.by_id("i-1").report_load(LoadReport(0, 0, 4, slowdown))
    return back_ends


def contention(configuration, slowdown=None):
    return Contention(lambda: configuration, registry(slowdown))


def test_job_routes_of_one_priority_do_not_compete():
    configuration = Configuration(1, (route("a", 1), route("b", 1)))
    assert not contention(configuration).is_contended("s")


def test_job_routes_of_different_priorities_compete_at_the_services_they_share():
    routes = (route("a", 0, services=("s", "t")), route("b", 1, services=("t", "u")))
    assert services_with_ranked_jobs(Configuration(1, routes)) == {"t"}


def test_the_priority_of_a_route_without_jobs_does_not_count():
    routes = (route("a", 1), route("b", 0, RequestKind.REPEATABLE))
    assert not contention(Configuration(1, routes)).is_contended("s")


def test_tenants_compete_at_every_service():
    tenants = TenantDirectory.of([(Tenant("t"), ["k"])])
    both = contention(Configuration(1, tenants=tenants))
    assert both.is_contended("s") and both.is_contended("other") and both.has_tenants()


def test_back_ends_that_share_their_machines_are_contended():
    plain, shared = contention(Configuration(1)), contention(Configuration(1), slowdown=1.0)
    assert not plain.is_contended("s")
    assert shared.is_contended("s") and not shared.is_contended("other")
    assert not shared.has_tenants()


@pytest.mark.parametrize("slowdown", [None, 2.0])
def test_without_a_configuration_nothing_is_contended(slowdown):
    assert not contention(None, slowdown).is_contended("s")


def test_a_new_configuration_counts_at_once():
    current = Configuration(1, (route("a", 1), route("b", 1)))
    watched = Contention(lambda: current, registry())
    assert not watched.is_contended("s")
    current = Configuration(2, (route("a", 1), route("b", 0)))
    assert watched.is_contended("s")
