from crankseam.orders.assigner import ASSIGNMENT_KEPT_S, Assigner
from crankseam.orders.demand import UnknownDemand
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.paces import SamplerPaces


class Demand(UnknownDemand):
    """The seconds of work that the open jobs of each model are."""

    def __init__(self, work_s):
        self.work_s = work_s

    def work_s_of(self, model):
        return self.work_s.get(model)


def add(registry, number, models, service="svc"):
    record = BackEndRecord(
        f"{service}-{number:02d}", service, "127.0.0.1:1", "z", 8, versions=dict.fromkeys(models, 1)
    )
    registry.update(record)


def assigner_of(samplers, models, demand=None):
    registry = BackEndRegistry()
    for number in range(samplers):
        add(registry, number, models)
    return Assigner(registry, SamplerPaces(), demand or UnknownDemand()), registry


def test_a_model_whose_items_are_more_work_gets_more_samplers():
    demand = Demand({"a": 90.0, "b": 210.0})
    assigner, _ = assigner_of(20, "ab", demand)
    named = {"a": 2, "b": 2}
    assigned = assigner.assign_all(named)
    assert {model: len(chosen) for model, chosen in assigned.items()} == {"a": 6, "b": 14}
    demand.work_s = {"a": 84.0, "b": 216.0}
    assert len(assigner.assign_all(named)["a"]) == 6, "a small change costs no load"


def test_an_assignment_is_kept_for_a_while_unless_another_model_is_named():
    assigner, registry = assigner_of(2, "ab")
    first = assigner.carriers({"a": 2}, 100.0)
    add(registry, 7, "ab")
    assert assigner.carriers({"a": 3}, 100.0 + ASSIGNMENT_KEPT_S) is first
    assert len(assigner.carriers({"a": 3}, 100.01 + ASSIGNMENT_KEPT_S)["a"]) == 3
    assert len(assigner.carriers({"a": 3, "b": 1}, 100.02 + ASSIGNMENT_KEPT_S)["b"]) == 3


def test_models_of_several_services_are_assigned_in_each_of_them():
    assigner, registry = assigner_of(6, "a")
    for number in range(2):
        add(registry, number, "a", "other")
    add(registry, 0, "c", "third")
    assigned = assigner.assign_all({"a": 2, "unknown": 1})
    assert sorted(one.record.service for one in assigned["a"]) == ["other"] * 2 + ["svc"] * 6
    assert assigned["unknown"] == [] and "c" not in assigned
