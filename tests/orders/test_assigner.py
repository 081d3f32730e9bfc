import logging

import pytest

from crankseam.orders.assigner import ASSIGNMENT_TTL_S, Assigner
from crankseam.orders.capacity import PACE_TOLERANCE
from crankseam.orders.demand import UnknownDemand
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.contention import NoContention
from crankseam.serving.paces import SamplerPaces
from tests.orders.factories import model_work


class FixedWorkDemand(UnknownDemand):
    """Demand with a given work, in seconds, of the open jobs of each model."""

    def __init__(self, work_s):
        self.work_s = work_s

    def required_slot_seconds(self, model):
        return self.work_s.get(model)


def add_sampler(registry, number, models, service="svc"):
    record = BackEndRecord(
        f"{service}-{number:02d}", service, "127.0.0.1:1", "z", 8, versions=dict.fromkeys(models, 1)
    )
    registry.update(record)


def make_assigner(samplers, models, demand=None):
    registry = BackEndRegistry()
    for number in range(samplers):
        add_sampler(registry, number, models)
    return Assigner(registry, SamplerPaces(), demand or UnknownDemand()), registry


def test_a_model_whose_items_are_more_work_gets_more_samplers():
    demand = FixedWorkDemand({"a": 90.0, "b": 210.0})
    assigner, _ = make_assigner(20, "ab", demand)
    announced = {"a": 2, "b": 2}
    assigned = assigner.assign_all(announced)
    assert {model: len(chosen) for model, chosen in assigned.items()} == {"a": 6, "b": 14}
    demand.work_s = {"a": 84.0, "b": 216.0}
    assert len(assigner.assign_all(announced)["a"]) == 6, (
        "a small change of the shares moves no sampler"
    )


def test_an_assignment_is_kept_for_a_while_unless_another_model_is_named():
    assigner, registry = make_assigner(2, "ab")
    first = assigner.samplers_by_model({"a": 2}, 100.0)
    add_sampler(registry, 7, "ab")
    assert assigner.samplers_by_model({"a": 3}, 100.0 + ASSIGNMENT_TTL_S) is first
    assert len(assigner.samplers_by_model({"a": 3}, 100.01 + ASSIGNMENT_TTL_S)["a"]) == 3
    assert len(assigner.samplers_by_model({"a": 3, "b": 1}, 100.02 + ASSIGNMENT_TTL_S)["b"]) == 3


def test_models_of_several_services_are_assigned_in_each_of_them():
    assigner, registry = make_assigner(6, "a")
    for number in range(2):
        add_sampler(registry, number, "a", "other")
    add_sampler(registry, 0, "c", "third")
    assigned = assigner.assign_all({"a": 2, "unknown": 1})
    assert (
        sorted(sampler.record.service for sampler in assigned["a"]) == ["other"] * 2 + ["svc"] * 6
    )
    assert assigned["unknown"] == [] and "c" not in assigned


class Contended(NoContention):
    """Contention of one service."""

    def is_contended(self, service):
        return service == "svc"


class FixedDueDemand(FixedWorkDemand):
    """Demand with given due work, and with work of item counts that says otherwise."""

    def __init__(self, works):
        super().__init__({model: 10.0 + index for index, model in enumerate(works)})
        self.works = works

    def due_work(self, model):
        return self.works.get(model)


def make_contended(samplers, demand):
    registry = BackEndRegistry()
    for number in range(samplers):
        add_sampler(registry, number, "ab")
    paces = SamplerPaces()
    return Assigner(registry, paces, demand, Contended()), registry, paces


def load(assigned, version):
    for model, chosen in assigned.items():
        for sampler in chosen:
            sampler.observed_versions[model] = version


def ids(assigned):
    return {model: {sampler.record.id for sampler in chosen} for model, chosen in assigned.items()}


ANNOUNCED = {"a": 2, "b": 2}


def test_a_contended_service_is_shared_by_urgency_and_others_as_before(caplog):
    caplog.set_level(logging.INFO)
    demand = FixedDueDemand({"a": model_work(120.0, 0), "b": model_work(120.0, 1)})
    assigner, registry, _ = make_contended(16, demand)
    for number in range(20):
        add_sampler(registry, number, "ab", "other")
    assigned = assigner.assign_all(ANNOUNCED)
    counts = {
        service: [
            sum(sampler.record.service == service for sampler in assigned[model]) for model in "ab"
        ]
        for service in ("svc", "other")
    }
    assert counts == {"svc": [10, 6], "other": [10, 11]}
    events = [record for record in caplog.records if record.message == "capacity_shared"]
    assert len(events) == 1 and events[0].service == "svc"
    assert events[0].reason == "needs exceed the capacity"
    assert events[0].shares == {"a": 0.62, "b": 0.38} and events[0].capacity == 128
    assigner.assign_all(ANNOUNCED)
    again = [record for record in caplog.records if record.message == "capacity_shared"]
    assert len(again) == 1, "the event is logged only when shares change"


def test_without_contention_the_assignment_is_that_of_the_rule_before():
    demand = FixedDueDemand({"a": model_work(120.0, 0), "b": model_work(120.0, 1)})
    plain, _ = make_assigner(20, "ab", demand)
    before, _ = make_assigner(20, "ab", FixedWorkDemand(demand.work_s))
    assert ids(plain.assign_all(ANNOUNCED)) == ids(before.assign_all(ANNOUNCED))


def test_a_new_holder_starts_from_equal_speeds_and_converges():
    """After a change of the holder no pace is known, until processes have told theirs."""
    demand = FixedDueDemand({"a": model_work(40.0), "b": model_work(40.0)})
    assigner, registry, paces = make_contended(12, demand)
    load(assigner.assign_all(ANNOUNCED), 2)
    slow = {f"svc-{number:02d}": 0.24 for number in range(4)}
    paces.update_from_process("p", slow | {f"svc-{n:02d}": 0.1 for n in range(4, 12)})
    converged = assigner.assign_all(ANNOUNCED)
    load(converged, 3)
    assert sorted(len(ids(converged)[model] & slow.keys()) for model in "ab") == [2, 2]
    new_holder = Assigner(registry, paces, demand, Contended())
    assert ids(new_holder.assign_all(ANNOUNCED)) == ids(converged)


def test_changes_below_the_thresholds_order_no_load():
    demand = FixedDueDemand({"a": model_work(40.0), "b": model_work(40.0)})
    assigner, _, paces = make_contended(23, demand)
    known = {f"svc-{number:02d}": 0.24 if number % 3 == 0 else 0.1 for number in range(23)}
    paces.update_from_process("p", known)
    first = assigner.assign_all(ANNOUNCED)
    load(first, 2)
    demand.works = {"a": model_work(42.0), "b": model_work(39.0)}
    noise = 1.0 + PACE_TOLERANCE / 2.0
    paces.update_from_process("p", known | {"svc-01": 0.1 * noise, "svc-03": 0.24 / noise})
    assert ids(assigner.assign_all(ANNOUNCED)) == ids(first)


def test_a_sampler_that_disappears_lowers_the_capacity_at_once():
    demand = FixedDueDemand({"a": model_work(80.0, 0), "b": model_work(80.0, 1)})
    assigner, registry, _ = make_contended(20, demand)
    assert [len(chosen) for chosen in assigner.assign_all(ANNOUNCED).values()] == [10, 10]
    for number in range(4):
        registry.remove(f"svc-{number:02d}")
    assigned = assigner.assign_all(ANNOUNCED)
    assert len(assigned["a"]) == 10 and len(assigned["b"]) == 6


@pytest.mark.parametrize("known", ["", "a"])
def test_shares_are_equal_while_work_is_unknown(known):
    works = dict.fromkeys("ab") | {model: model_work(90.0) for model in known}
    assigner, _, _ = make_contended(20, FixedDueDemand(works))
    assert [len(chosen) for chosen in assigner.assign_all(ANNOUNCED).values()] == [10, 10]


@pytest.mark.parametrize("pace_s", [0.0, -0.1, float("nan"), float("inf"), 5e-324])
def test_a_pace_that_no_sampler_can_have_counts_as_unknown(pace_s):
    """Fault: one bad stored table ended each pass of the coordinator; nothing was loaded."""
    demand = FixedDueDemand({"a": model_work(40.0), "b": model_work(40.0)})
    assigner, _, paces = make_contended(12, demand)
    expected = ids(assigner.assign_all(ANNOUNCED))
    paces.update_from_process("p", {f"svc-{number:02d}": pace_s for number in range(7)})
    assert ids(assigner.assign_all(ANNOUNCED)) == expected
    paces.update_from_process("p", {"svc-00": pace_s, "svc-01": 0.1})
    assert ids(assigner.assign_all(ANNOUNCED)) == expected


def test_a_configuration_that_changes_in_the_middle_changes_only_the_rule(monkeypatch):
    """The service is contended, then not, then again, with a model more."""
    demand = FixedDueDemand({"a": model_work(120.0, 0), "b": model_work(120.0, 1)})
    assigner, registry, _ = make_contended(16, demand)
    contended = ids(assigner.assign_all(ANNOUNCED))
    monkeypatch.setattr(Contended, "is_contended", lambda self, service: False)
    plain, _ = make_assigner(16, "ab", demand)
    assert ids(assigner.assign_all(ANNOUNCED)) == ids(plain.assign_all(ANNOUNCED))
    monkeypatch.undo()
    assert ids(assigner.assign_all(ANNOUNCED)) == contended
    for number in range(16):
        add_sampler(registry, number, "abc")
    more = assigner.assign_all({**ANNOUNCED, "c": 2})
    counts = [len(more[model]) for model in "abc"]
    assert sum(counts) >= 16 and max(counts) - min(counts) <= 1, "equal until its work is known"
