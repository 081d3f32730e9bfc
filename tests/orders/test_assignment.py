from hypothesis import given
from hypothesis import strategies as st

from crankseam.orders.assignment import LOADS_PER_STEP, assign, samplers_per_model
from crankseam.serving.back_ends import BackEnd, BackEndRecord


def samplers(count, versions=None):
    versions = versions or {}
    return [
        BackEnd(
            BackEndRecord(f"s{number}", "llm", "1.1.1.1:1", "z", 8, False, versions.get(number, {}))
        )
        for number in range(count)
    ]


@given(st.integers(1, 12), st.integers(1, 4))
def test_each_model_has_its_samplers_and_the_work_is_even(count, models):
    announced = {f"m{number}": 2 for number in range(models)}
    assigned = assign(samplers(count), announced)
    assert all(len(chosen) == samplers_per_model(count, models) for chosen in assigned.values())
    model_counts = [
        sum(sampler.record.id == f"s{number}" for chosen in assigned.values() for sampler in chosen)
        for number in range(count)
    ]
    assert max(model_counts) - min(model_counts) <= 1


def test_an_assignment_stands_when_versions_move_on():
    all_samplers = samplers(5)
    first = assign(all_samplers, {"a": 2, "b": 2})
    for model, chosen in first.items():
        for sampler in chosen:
            sampler.observed_versions[model] = 2
    assert assign(all_samplers, {"a": 3, "b": 2}) == first
    assert assign(list(reversed(all_samplers)), {"b": 3, "a": 3}) == first


def test_a_failing_sampler_is_replaced():
    all_samplers = samplers(8)
    first = assign(all_samplers, {"a": 2, "b": 2})
    first["a"][0].failures = 5
    again = assign(all_samplers, {"a": 2, "b": 2})
    assert first["a"][0] not in again["a"] and len(again["a"]) == 4


def test_few_samplers_all_carry_both_models():
    assigned = assign(samplers(3), {"a": 2, "b": 2})
    assert len(assigned["a"]) == len(assigned["b"]) == 3


def test_one_model_is_carried_by_all():
    assert len(assign(samplers(6), {"a": 2})["a"]) == 6


def test_each_model_gets_its_share_of_the_fast_samplers():
    all_samplers = samplers(24)
    classes = {
        sampler.record.id: 0 if number < 16 else 2 for number, sampler in enumerate(all_samplers)
    }
    assigned = assign(all_samplers, {"a": 2, "b": 2, "c": 2}, classes)
    fast = [
        sum(classes[sampler.record.id] == 0 for sampler in chosen) for chosen in assigned.values()
    ]
    assert sorted(fast) == [5, 5, 6]
    assert len({sampler.record.id for chosen in assigned.values() for sampler in chosen}) == 24


def test_a_class_that_becomes_known_later_moves_no_sampler():
    all_samplers = samplers(8)
    first = assign(all_samplers, {"a": 2, "b": 2})
    for model, chosen in first.items():
        for sampler in chosen:
            sampler.observed_versions[model] = 2
    classes = {sampler.record.id: number % 3 for number, sampler in enumerate(all_samplers)}
    again = assign(all_samplers, {"a": 3, "b": 3}, classes)
    assert {model: set(map(id, chosen)) for model, chosen in again.items()} == {
        model: set(map(id, chosen)) for model, chosen in first.items()
    }


def test_a_model_is_loaded_on_no_more_samplers_than_its_items_need():
    all_samplers = samplers(300)
    items = {"a": 192, "b": 3}
    assigned = assign(all_samplers, {"a": 2, "b": 2, "c": 2}, None, items)
    assert len(assigned["a"]) == 48, "two slots for each of 192 items, eight slots a sampler"
    assert len(assigned["b"]) == LOADS_PER_STEP
    assert len(assigned["c"]) == 100, "its demand is unknown, so it gets its share"
    assert len(assign(samplers(24), {"a": 2, "b": 2, "c": 2}, None, items)["a"]) == 8


def test_models_get_samplers_by_their_shares():
    all_samplers = samplers(31)
    shares = {"a": 0.3, "b": 0.7}
    assigned = assign(all_samplers, {"a": 2, "b": 2}, shares=shares)
    assert [len(assigned["a"]), len(assigned["b"])] == [10, 22]
    assert len({sampler.record.id for chosen in assigned.values() for sampler in chosen}) == 31


def test_a_share_that_grows_takes_samplers_that_the_other_model_left():
    all_samplers = samplers(20)
    first = assign(all_samplers, {"a": 2, "b": 2})
    for model, chosen in first.items():
        for sampler in chosen:
            sampler.observed_versions[model] = 2
    again = assign(all_samplers, {"a": 2, "b": 2}, shares={"a": 0.3, "b": 0.7})
    assert set(map(id, first["b"])) <= set(map(id, again["b"])), (
        "samplers keep the models that they have loaded"
    )
    assert set(map(id, again["a"])) <= set(map(id, first["a"]))
    assert len({sampler.record.id for chosen in again.values() for sampler in chosen}) == 20
