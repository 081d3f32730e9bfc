import pytest

from crankseam.serving.tenants import (
    MAX_KEY_BYTES,
    Tenant,
    TenantDirectory,
    TenantsInvalid,
    bearer_key,
    effective_priority,
)


def test_a_key_belongs_to_the_tenant_that_holds_it():
    directory = TenantDirectory.of([(Tenant("a", 1), ["k1", "k2"]), (Tenant("b"), ["k3"])])
    assert directory.find_by_key("k1") == directory.find_by_key("k2") == Tenant("a", 1)
    assert directory.find_by_key("k3") == Tenant("b")
    assert directory.find_by_key("k4") is None
    assert directory.find_by_key("") is None


def test_no_key_is_kept_as_it_is():
    directory = TenantDirectory.of([(Tenant("a"), ["very-secret"])])
    assert "very-secret" not in repr(directory)


def test_one_key_of_one_tenant_may_stand_twice_and_of_two_tenants_not():
    TenantDirectory.of([(Tenant("a"), ["k1", "k1"])])
    with pytest.raises(TenantsInvalid) as raised:
        TenantDirectory.of([(Tenant("a"), ["secret-k"]), (Tenant("b"), ["secret-k"])])
    assert "secret-k" not in str(raised.value)


@pytest.mark.parametrize("key", ["", "x" * (MAX_KEY_BYTES + 1)])
def test_an_empty_or_too_long_key_is_refused_when_set_and_never_known(key):
    with pytest.raises(TenantsInvalid):
        TenantDirectory.of([(Tenant("a"), [key])])
    assert TenantDirectory().find_by_key(key) is None


@pytest.mark.parametrize(
    ("headers", "key"),
    [
        (["Bearer k1"], "k1"),
        (["bearer  k1 "], "k1"),
        ([], None),
        (["Bearer k1", "Bearer k1"], None),
        (["Basic k1"], None),
        (["Bearer"], None),
        (["Bearer "], None),
        (["Bearer k1 k2"], None),
        (["k1"], None),
    ],
)
def test_what_key_a_request_shows(headers, key):
    assert bearer_key(headers) == key


def test_a_tenants_priority_goes_before_its_routes():
    assert effective_priority(Tenant("a", 0), 3) == 0
    assert effective_priority(Tenant("a"), 3) == 3
    assert effective_priority(None, 3) == 3
