from crankseam.orders.assigner import ASSIGNMENT_TTL_S, Assigner
from crankseam.orders.demand import UnknownDemand
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.paces import SamplerPaces


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
