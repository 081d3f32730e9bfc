from crankseam.scaling.ordering import (
    ARRIVAL_GRACE_S,
    EXHAUSTED_ZONE_PAUSE_S,
    RETRY_BASE_S,
    RETRY_CAP_S,
    ExhaustedZones,
    OrderedCount,
)

BOOT_S = 5.0


def test_a_count_is_ordered_once_and_again_only_if_the_samplers_do_not_come():
    ordered = OrderedCount()
    assert ordered.is_due(0, 0, BOOT_S, 0.0), "the last ordered number is unknown"
    ordered.taken(3, 0.0)
    late = BOOT_S + ARRIVAL_GRACE_S
    assert not ordered.is_due(3, 0, BOOT_S, late)
    assert ordered.is_due(3, 2, BOOT_S, late + 0.01)
    assert not ordered.is_due(3, 3, BOOT_S, late + 0.01)
    assert ordered.is_due(2, 3, BOOT_S, 0.1), "a different number is ordered at once"


def test_after_failures_the_next_order_waits():
    ordered = OrderedCount()
    for _ in range(20):
        ordered.failed(0.0)
        assert not ordered.is_due(1, 0, BOOT_S, RETRY_BASE_S - 0.01)
        assert ordered.is_due(1, 0, BOOT_S, RETRY_BASE_S + RETRY_CAP_S)


def test_a_zone_is_exhausted_for_a_while():
    zones = ExhaustedZones()
    assert not zones.is_exhausted("llm", "a", 0.0)
    zones.mark_exhausted("llm", "a", 10.0)
    assert zones.is_exhausted("llm", "a", 10.0 + EXHAUSTED_ZONE_PAUSE_S - 0.01)
    assert not zones.is_exhausted("llm", "a", 10.0 + EXHAUSTED_ZONE_PAUSE_S)
    assert not zones.is_exhausted("llm", "b", 10.0) and not zones.is_exhausted("other", "a", 10.0)
