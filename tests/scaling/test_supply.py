from crankseam.scaling.model import ZoneSupply
from crankseam.scaling.supply import SETTLE_TIME_S, StabilizedSupply, count_supply
from crankseam.serving.back_ends import BackEnd, BackEndRecord


def sampler(zone, leaving=False, is_spot=False):
    return BackEnd(BackEndRecord("s", "llm", "10.0.0.1:1", zone, 8, leaving, is_spot=is_spot))


def test_samplers_are_counted_by_zone_and_kind_without_those_that_leave():
    back_ends = [
        sampler("a"),
        sampler("a", is_spot=True),
        sampler("a", is_spot=True),
        sampler("a", leaving=True),
        sampler("c"),
    ]
    supply = count_supply(back_ends, ["b", "a"])
    assert supply == {"b": ZoneSupply(), "a": ZoneSupply(1, 2), "c": ZoneSupply(1, 0)}
    assert list(supply) == ["b", "a", "c"]


def test_a_standing_sampler_that_is_gone_counts_on_and_a_spot_sampler_does_not():
    supply = StabilizedSupply()
    assert supply.update("llm", "a", ZoneSupply(2, 2), 0.0) == ZoneSupply(2, 2)
    assert supply.update("llm", "a", ZoneSupply(1, 1), 1.0) == ZoneSupply(2, 1)


def test_nothing_is_concluded_shortly_after_standing_samplers_came_in():
    supply = StabilizedSupply()
    assert supply.is_settled(0.0)
    supply.update("llm", "a", ZoneSupply(1, 0), 10.0)
    assert not supply.is_settled(10.0 + SETTLE_TIME_S - 0.01)
    assert supply.is_settled(10.0 + SETTLE_TIME_S)
    supply.update("llm", "a", ZoneSupply(1, 5), 20.0)
    supply.update("llm", "a", ZoneSupply(0, 5), 20.0)
    supply.update("llm", "a", ZoneSupply(1, 5), 20.0)
    assert supply.is_settled(20.0), (
        "neither spot samplers nor a sampler that returns delay the orders"
    )
    supply.update("llm", "b", ZoneSupply(1, 0), 30.0)
    assert not supply.is_settled(30.0)
