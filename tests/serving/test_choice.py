import random
import time
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from crankseam.serving.back_ends import BackEnd, BackEndRecord, BackEndRegistry
from crankseam.serving.choice import choose_back_end
from crankseam.serving.load_reports import LoadReport
from crankseam.serving.routes import (
    Configuration,
    RequestKind,
    Route,
    Share,
    TrafficSplitter,
)


def make_route(prefix="/", shares=(("s", 1.0),), host="h", name="r"):
    parts = tuple(Share(service, weight) for service, weight in shares)
    return Route(name, host, prefix, RequestKind.REPEATABLE, parts, 1.0, 0.1)


def back_end(name, **fields):
    return BackEnd(BackEndRecord(name, "s", "1.1.1.1:1", fields.pop("zone", "z"), 4), **fields)


def choose(candidates, zone, excluded=()):
    return choose_back_end(candidates, zone, time.monotonic(), excluded)


def test_the_longest_prefix_of_the_host_wins():
    routes = (make_route("/a/", name="a"), make_route("/a/b/", name="ab"))
    configuration = Configuration(1, (*routes, make_route("/a/b/c/", host="other")))
    assert configuration.match("h", "/a/b/c/d").name == "ab"
    assert configuration.match("h", "/a/x").name == "a"
    assert configuration.match("h", "/b/") is None
    assert configuration.match("none", "/a/") is None


@given(st.lists(st.integers(1, 99), min_size=2, max_size=4))
def test_each_part_gets_its_share_within_one_request_a_part(weights):
    shares = tuple((f"s{number}", float(weight)) for number, weight in enumerate(weights))
    route, splitter = make_route(shares=shares), TrafficSplitter()
    picked = Counter(splitter.pick(route) for _ in range(300))
    for service, weight in shares:
        assert abs(picked[service] - 300 * weight / sum(weights)) <= len(weights)


def test_the_least_loaded_is_chosen_and_avoided_ones_only_without_another():
    busy, idle = back_end("busy", in_flight=3), back_end("idle", in_flight=1)
    assert choose([busy, idle], "z") is idle
    idle.record_failure()
    assert choose([busy, idle], "z") is busy
    assert choose([idle], "z") is idle
    assert choose([idle], "z", {"idle"}) is None


def test_a_fresh_report_of_others_load_counts_and_an_old_one_does_not():
    one, other = back_end("one"), back_end("other", in_flight=1)
    one.report_load(LoadReport(5, 2, 8))
    assert choose([one, other], "z") is other
    one.reported_at = float("-inf")
    assert choose([one, other], "z") is one


def test_the_callers_zone_wins_between_equals_and_a_random_tie_break_between_the_rest():
    here, there = back_end("here", zone="z"), back_end("there", zone="y")
    assert {choose([there, here], "z") for _ in range(20)} == {here}
    here.in_flight = 1
    assert choose([there, here], "z") is there
    here.in_flight, twin = 0, back_end("twin", zone="z")
    generator, now = random.Random(1), time.monotonic()
    assert {choose_back_end([here, twin], "z", now, (), generator) for _ in range(20)} == {
        here,
        twin,
    }


def test_an_id_that_comes_back_after_it_went_is_another_incarnation():
    registry = BackEndRegistry()
    record = BackEndRecord("a", "s", "1.1.1.1:1", "z", 4)
    registry.update(record)
    (first,) = registry.of_service("s")
    registry.remove("a")
    assert not registry.is_current(first)
    registry.update(record)
    assert not registry.is_current(first) and registry.of_service("s") != [first]
