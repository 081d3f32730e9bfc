"""Choice of a back end for a request, and the reasons why others are refused."""

import random

import pytest

from crankseam.cluster.digest import AgedReport, DigestTable
from crankseam.config.kinds import BackEnd
from crankseam.peers.messages import BackEndReport
from crankseam.routing import (
    CONNECTION_FAILURE_S,
    CONTROLLER_REPORT_PREFIX,
    LEAVING_BY_FILE,
    LEAVING_BY_MACHINE_LIST,
    LEAVING_BY_REPORT,
    LocalBackEndState,
    Router,
    expected_load,
)

BACK_ENDS = [
    BackEnd(name=f"b-{number}", address=f"10.0.0.{number}:80", zone=f"zone-{number}")
    for number in range(3)
]


class ManualClock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class RoutingHarness:
    """A digest table and a router that reads it, on one manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.digest = DigestTable("home", self.clock)
        self.router = Router(self.digest, "zone-1", random.Random(1), self.clock)

    def report(self, name, watcher="node-0", **fields):
        values = {"alive": True, "leaving": False, "running": 0, "waiting": 0, "version": -1}
        values |= {"zone": "zone-0"} | fields
        sequence = round(self.clock.now * 1000)
        self.digest.merge_report(BackEndReport(f"s/{name}", watcher, sequence, **values))

    def choose(self, **options):
        return self.router.choose("s", BACK_ENDS, **options)

    def refusals(self):
        return {candidate.name: candidate.refused for candidate in self.choose().candidates}


@pytest.fixture
def harness() -> RoutingHarness:
    return RoutingHarness()


def test_the_least_loaded_is_chosen(harness):
    for name, running in (("b-0", 3), ("b-1", 2), ("b-2", 1)):
        harness.report(name, running=running, waiting=1)
    choice = harness.choose()
    assert choice.back_end.name == "b-2"
    assert [candidate.load for candidate in choice.candidates] == [4.0, 3.0, 2.0]


def test_equal_loads_go_to_this_zone(harness):
    assert {harness.choose().back_end.name for _ in range(20)} == {"b-1"}
    others = {harness.choose(excluded=frozenset({"b-1"})).back_end.name for _ in range(40)}
    assert others == {"b-0", "b-2"}


def test_what_was_sent_since_the_report_is_added_to_it():
    report = BackEndReport("s/b", "node-0", 1, True, False, 5, 1, -1, "zone-0")
    local_state = LocalBackEndState(in_flight=2)
    local_state.sent_at.extend([98.0, 99.5, 99.9])
    assert expected_load(local_state, None, now=100.0) == 2.0
    assert expected_load(local_state, AgedReport(report, age=1.0), now=100.0) == 8.0
    local_state.in_flight = 9
    assert expected_load(local_state, AgedReport(report, age=1.0), now=100.0) == 9.0


def test_one_that_is_leaving_by_any_source_gets_nothing(harness):
    harness.report("b-0", leaving=True)
    harness.router.leaving_machines = {"10.0.0.2"}
    assert harness.refusals() == {
        "b-0": LEAVING_BY_REPORT,
        "b-1": None,
        "b-2": LEAVING_BY_MACHINE_LIST,
    }
    leaving = BACK_ENDS[1].model_copy(update={"leaving": True})
    assert harness.router.choose("s", [leaving]).candidates[0].refused == LEAVING_BY_FILE


def test_one_that_no_watcher_reaches_gets_nothing(harness):
    harness.report("b-0", "node-0", alive=False)
    harness.report("b-1", "node-0", alive=False)
    harness.report("b-1", "node-1", alive=True)
    harness.report("b-2", f"{CONTROLLER_REPORT_PREFIX}node-0", alive=True)
    refusals = harness.refusals()
    assert refusals["b-0"] == "does not answer its watchers"
    assert refusals["b-1"] is None and refusals["b-2"] is None


def test_one_that_is_set_aside_gets_nothing_and_the_reason_is_told(harness):
    harness.report("b-0", f"{CONTROLLER_REPORT_PREFIX}node-0", set_aside="2 loads failed")
    assert harness.refusals()["b-0"] == "set aside: 2 loads failed"


def test_one_that_refused_a_connection_is_passed_over_for_a_while(harness):
    harness.router.record_connection_failure("s/b-1")
    assert harness.refusals()["b-1"] == "refused a connection just now"
    harness.clock.now += CONNECTION_FAILURE_S
    assert harness.refusals()["b-1"] is None


def test_where_none_is_eligible_all_refusals_are_told(harness):
    choice = harness.choose(excluded=frozenset(candidate.name for candidate in BACK_ENDS))
    assert choice.back_end is None
    assert {candidate.refused for candidate in choice.candidates} == {
        "already tried for this request"
    }
