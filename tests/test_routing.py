"""Which back end gets a request, and why the others do not."""

import random

import pytest

from crankseam.cluster.digest import AgedReport, DigestTable
from crankseam.config.kinds import BackEnd
from crankseam.peers.messages import BackEndReport
from crankseam.routing import (
    CONNECTION_FAILURE_S,
    LEAVING_SEEN_FILE,
    LEAVING_SEEN_MACHINE,
    LEAVING_SEEN_REPORT,
    NOTE_PREFIX,
    LocalView,
    Router,
    expected_load,
)

BACK_ENDS = [
    BackEnd(name=f"b-{number}", address=f"10.0.0.{number}:80", zone=f"zone-{number}")
    for number in range(3)
]


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Table:
    """A digest and a router over it, on one clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.digest = DigestTable("home", self.clock)
        self.router = Router(self.digest, "zone-1", random.Random(1), self.clock)

    def report(self, name, watcher="node-0", **fields):
        given = {"alive": True, "leaving": False, "running": 0, "waiting": 0, "version": -1}
        given |= {"zone": "zone-0"} | fields
        sequence = round(self.clock.now * 1000)
        self.digest.learn_report(BackEndReport(f"s/{name}", watcher, sequence, **given))

    def choose(self, **options):
        return self.router.choose("s", BACK_ENDS, **options)

    def refusals(self):
        return {each.name: each.refused for each in self.choose().candidates}


@pytest.fixture
def table() -> Table:
    return Table()


def test_the_least_loaded_is_chosen(table):
    for name, running in (("b-0", 3), ("b-1", 2), ("b-2", 1)):
        table.report(name, running=running, waiting=1)
    choice = table.choose()
    assert choice.back_end.name == "b-2"
    assert [each.load for each in choice.candidates] == [4.0, 3.0, 2.0]


def test_equal_loads_go_to_this_zone(table):
    assert {table.choose().back_end.name for _ in range(20)} == {"b-1"}
    others = {table.choose(excluded=frozenset({"b-1"})).back_end.name for _ in range(40)}
    assert others == {"b-0", "b-2"}


def test_what_was_sent_since_the_report_is_added_to_it():
    report = BackEndReport("s/b", "node-0", 1, True, False, 5, 1, -1, "zone-0")
    view = LocalView(in_flight=2)
    view.sent_at.extend([98.0, 99.5, 99.9])
    assert expected_load(view, None, now=100.0) == 2.0
    assert expected_load(view, AgedReport(report, age=1.0), now=100.0) == 8.0
    view.in_flight = 9
    assert expected_load(view, AgedReport(report, age=1.0), now=100.0) == 9.0


def test_one_that_is_leaving_by_any_source_gets_nothing(table):
    table.report("b-0", leaving=True)
    table.router.leaving_machines = {"10.0.0.2"}
    assert table.refusals() == {
        "b-0": LEAVING_SEEN_REPORT,
        "b-1": None,
        "b-2": LEAVING_SEEN_MACHINE,
    }
    leaving = BACK_ENDS[1].model_copy(update={"leaving": True})
    assert table.router.choose("s", [leaving]).candidates[0].refused == LEAVING_SEEN_FILE


def test_one_that_no_watcher_reaches_gets_nothing(table):
    table.report("b-0", "node-0", alive=False)
    table.report("b-1", "node-0", alive=False)
    table.report("b-1", "node-1", alive=True)
    table.report("b-2", f"{NOTE_PREFIX}node-0", alive=True)
    refusals = table.refusals()
    assert refusals["b-0"] == "does not answer its watchers"
    assert refusals["b-1"] is None and refusals["b-2"] is None


def test_one_that_is_set_aside_gets_nothing_and_the_reason_is_told(table):
    table.report("b-0", f"{NOTE_PREFIX}node-0", set_aside="2 loads failed")
    assert table.refusals()["b-0"] == "set aside: 2 loads failed"


def test_one_that_refused_a_connection_is_passed_over_for_a_while(table):
    table.router.fail_connection("s/b-1")
    assert table.refusals()["b-1"] == "refused a connection just now"
    table.clock.now += CONNECTION_FAILURE_S
    assert table.refusals()["b-1"] is None


def test_where_none_is_eligible_all_refusals_are_told(table):
    choice = table.choose(excluded=frozenset(each.name for each in BACK_ENDS))
    assert choice.back_end is None
    assert {each.refused for each in choice.candidates} == {"already tried for this request"}
