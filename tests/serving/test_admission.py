import pytest

from crankseam.errors import Unauthorized, Unavailable
from crankseam.serving.admission import Admission, RevocationPolicy
from crankseam.serving.routes import Configuration, RequestKind, Route, Share
from crankseam.serving.tenants import Tenant, TenantDirectory

TENANTS = TenantDirectory.of([(Tenant("a"), ["ka"]), (Tenant("b"), ["kb"])])


def route(kind=RequestKind.REPEATABLE, is_public=False, host="h"):
    return Route("r", host, "/", kind, (Share("s", 1.0),), 1.0, 1.0, is_public=is_public)


def admission(strict=False, age_s=0.0):
    return Admission(RevocationPolicy(strict, 5.0), lambda: age_s)


def test_a_route_needs_a_known_key_where_there_are_tenants():
    configuration = Configuration(1, (route(),), tenants=TENANTS)
    found = admission().tenant_for_route(configuration, route(), ["Bearer ka"])
    assert found == Tenant("a")
    for headers in ([], ["Bearer kc"], ["Bearer ka", "Bearer kb"], ["Basic ka"]):
        with pytest.raises(Unauthorized):
            admission().tenant_for_route(configuration, route(), headers)


def test_a_public_route_and_a_configuration_without_tenants_need_none():
    keyed = Configuration(1, (route(),), tenants=TENANTS)
    public = route(is_public=True)
    assert admission().tenant_for_route(keyed, public, ["Bearer kc"]) is None
    assert admission().tenant_for_route(keyed, public, ["Bearer kb"]) == Tenant("b")
    assert admission().tenant_for_route(Configuration(1), route(), ["Bearer ka"]) is None


def test_without_any_tenant_left_no_route_opens():
    no_tenants = Configuration(1, (route(),), tenants=TenantDirectory())
    with pytest.raises(Unauthorized):
        admission().tenant_for_route(no_tenants, route(), ["Bearer ka"])


def test_calls_on_jobs_need_a_key_unless_a_job_route_of_the_host_is_public():
    closed = Configuration(1, (route(RequestKind.JOB),), tenants=TENANTS)
    opened = Configuration(1, (route(RequestKind.JOB, True),), tenants=TENANTS)
    assert admission().tenant_for_jobs(closed, "h", ["Bearer ka"]) == Tenant("a")
    with pytest.raises(Unauthorized):
        admission().tenant_for_jobs(closed, "h", [])
    assert admission().tenant_for_jobs(opened, "h", []) is None
    with pytest.raises(Unauthorized):
        admission().tenant_for_jobs(opened, "another", [])


def test_strict_revocation_refuses_where_the_key_can_not_be_confirmed():
    configuration = Configuration(1, (route(),), tenants=TENANTS)
    headers = ["Bearer ka"]
    assert admission(True, 4.9).tenant_for_route(configuration, route(), headers)
    with pytest.raises(Unavailable) as raised:
        admission(True, 5.1).tenant_for_route(configuration, route(), headers)
    assert raised.value.retry_after
    assert admission(False, 99.0).tenant_for_route(configuration, route(), headers)
    with pytest.raises(Unauthorized):
        admission(True, 99.0).tenant_for_route(configuration, route(), ["Bearer kc"])
    assert admission(True, 99.0).tenant_for_route(configuration, route(is_public=True), []) is None
