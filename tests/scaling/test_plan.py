from hypothesis import given
from hypothesis import strategies as st

from crankseam.scaling.model import Kind, ScalingBounds, ZoneSupply
from crankseam.scaling.plan import plan, samplers_for_items, spread

ZONES = ["a", "b", "c"]
PRICES = {"a": 1.0, "b": 0.8, "c": 1.25}


def bounds(min_samplers=1, max_samplers=15, spot_price=0.18):
    return ScalingBounds(min_samplers, max_samplers, 4.0, spot_price, PRICES)


SUPPLY = st.fixed_dictionaries(
    {zone: st.builds(ZoneSupply, st.integers(0, 10), st.integers(0, 10)) for zone in ZONES}
)


@given(
    SUPPLY,
    st.integers(0, 80),
    st.sets(st.sampled_from(ZONES)),
    st.sampled_from([None, 0.18]),
    st.integers(0, 3),
    st.integers(3, 15),
)
def test_no_order_goes_beyond_the_bounds(
    supply, desired, exhausted, spot_price, min_samplers, max_samplers
):
    allowed = bounds(min_samplers, max_samplers, spot_price)
    for order in plan("s", allowed, supply, desired, exhausted):
        if order.zone in exhausted:
            continue
        assert order.count >= 0
        if order.kind is Kind.SPOT:
            assert order.count + supply[order.zone].standing <= max(
                max_samplers, supply[order.zone].standing
            )
        else:
            assert min_samplers <= order.count <= max_samplers


@given(SUPPLY, st.integers(0, 45))
def test_the_same_need_gives_the_same_orders_while_samplers_boot(supply, desired):
    booting = {zone: ZoneSupply(zone_supply.standing, 0) for zone, zone_supply in supply.items()}
    assert plan("s", bounds(), supply, desired, set()) == plan(
        "s", bounds(), booting, desired, set()
    )


def test_what_standing_samplers_lack_is_ordered_as_spot_and_spread():
    supply = {zone: ZoneSupply(8) for zone in ZONES}
    orders = plan("s", bounds(), supply, 43, set())
    assert {order.kind for order in orders} == {Kind.SPOT}
    assert [order.count for order in orders] == [6, 7, 6], "the cheapest zone gets the odd sampler"


def test_as_many_as_may_be_where_more_are_wanted():
    supply = {zone: ZoneSupply(8) for zone in ZONES}
    assert [order.count for order in plan("s", bounds(), supply, 99, set())] == [7, 7, 7]
    standing = plan("s", bounds(spot_price=None), supply, 99, set())
    assert [(order.kind, order.count) for order in standing] == [(Kind.STANDING, 15)] * 3


def test_what_an_exhausted_zone_lacks_is_ordered_elsewhere():
    supply = {zone: ZoneSupply(8) for zone in ZONES}
    orders = {order.zone: order.count for order in plan("s", bounds(), supply, 36, {"a"})}
    assert orders == {"a": 0, "b": 6, "c": 6}


def test_standing_samplers_are_dealt_alike_where_there_are_no_spot_ones():
    supply = {"a": ZoneSupply(9), "b": ZoneSupply(0), "c": ZoneSupply(0)}
    orders = plan("s", bounds(spot_price=None), supply, 10, set())
    assert [order.count for order in orders] == [3, 4, 3]
    few = plan("s", bounds(2, spot_price=None), supply, 0, set())
    assert [order.count for order in few] == [2, 2, 2]


@given(st.integers(0, 60), st.fixed_dictionaries({zone: st.integers(0, 15) for zone in ZONES}))
def test_the_loss_of_one_zone_takes_no_more_than_it_must(count, limits):
    counts = spread(count, limits, PRICES)
    assert sum(counts.values()) == min(count, sum(limits.values()))
    assert all(counts[zone] <= limits[zone] for zone in limits)
    free = [zone for zone in limits if counts[zone] < limits[zone]]
    if free:
        assert max(counts.values()) <= min(counts[zone] for zone in free) + 1


def test_each_open_item_gets_a_place():
    assert (
        samplers_for_items(0, 8),
        samplers_for_items(1, 8),
        samplers_for_items(8, 8),
        samplers_for_items(9, 8),
    ) == (
        0,
        1,
        1,
        2,
    )
