"""When a sampler is queried, loaded, switched or excluded from routing."""

from crankseam.controllers.weight_rules import (
    LOAD_BACKOFF_BASE_S,
    REPORT_LAG_S,
    STATE_QUERY_INTERVAL_S,
    SamplerProgress,
    samplers_to_switch,
)

LOADED = {"is_known": True, "is_loaded": True}


def test_a_sampler_of_unknown_state_is_asked_every_few_seconds():
    progress = SamplerProgress(7)
    assert progress.is_state_query_due(now=0.0)
    progress.state_queried_at = 10.0
    assert not progress.is_state_query_due(now=10.0 + STATE_QUERY_INTERVAL_S - 0.1)
    assert progress.is_state_query_due(now=10.0 + STATE_QUERY_INTERVAL_S)
    progress.is_known = True
    assert not progress.is_state_query_due(now=100.0)


def test_a_sampler_loads_once_it_is_known_and_not_before_its_pause_is_over():
    progress = SamplerProgress(7)
    assert not progress.is_load_due(now=1.0)
    progress.is_known = True
    assert progress.is_load_due(now=1.0)
    progress.record_failed_load(now=1.0)
    assert 1.0 <= progress.retry_at <= 1.0 + LOAD_BACKOFF_BASE_S
    assert progress.is_load_due(now=progress.retry_at)
    progress.is_loaded = True
    assert not progress.is_load_due(now=100.0)


def test_a_sampler_is_set_aside_once_when_it_failed_as_often_as_the_policy_allows():
    progress = SamplerProgress(7, is_known=True)
    progress.record_failed_load(now=0.0)
    assert not progress.is_set_aside_due(load_attempts=2)
    progress.record_failed_load(now=1.0)
    assert progress.is_set_aside_due(load_attempts=2)
    progress.set_aside = "2 loads of 7 failed"
    assert not progress.is_set_aside_due(load_attempts=2)


def test_a_report_contradicts_a_switch_only_if_it_came_well_after_it():
    progress = SamplerProgress(7, is_serving=True, switched_at=100.0)
    now = 100.0 + REPORT_LAG_S + 2.0
    assert progress.is_contradicted(6, report_age=1.9, now=now)
    assert not progress.is_contradicted(6, report_age=2.0, now=now)
    assert not progress.is_contradicted(7, report_age=0.0, now=now)


def test_all_are_switched_at_once_when_each_that_answers_has_the_version_or_is_set_aside():
    progress = {
        "a": SamplerProgress(7, **LOADED),
        "b": SamplerProgress(7, is_known=True),
        "silent": SamplerProgress(7),
        "serving": SamplerProgress(7, is_serving=True, **LOADED),
    }
    assert samplers_to_switch(progress) == []
    progress["b"].set_aside = "failed"
    assert samplers_to_switch(progress) == ["a"]
    progress["b"].is_loaded = True
    assert samplers_to_switch(progress) == ["a", "b"]
