import pytest

from crankseam.memory.limits import MIN_BUDGET_BYTES, PROCESS_BASE_BYTES, limits_from_settings


def test_without_the_setting_there_is_no_budget():
    assert limits_from_settings(None) is None


@pytest.mark.parametrize("megabytes", [0.5, 80, 160, 200.5, 552])
def test_base_need_and_budget_fit_into_the_machine(megabytes):
    limits = limits_from_settings(megabytes)
    assert 0 < limits.body_bytes < limits.total_bytes
    if limits.total_bytes > MIN_BUDGET_BYTES:
        assert limits.total_bytes + PROCESS_BASE_BYTES < megabytes * 2**20
