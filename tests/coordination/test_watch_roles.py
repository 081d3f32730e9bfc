import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.coordination.watch_roles import (
    PROCESSES_PER_FEED_SERVER,
    WATCHERS,
    Peer,
    assign_roles,
    feed_server_count,
    has_readers,
    watcher_count,
)

NOBODY = frozenset()


def peers(count):
    return [Peer(f"p{number:03d}", f"a{number}", 1000 + number) for number in range(count)]


def roles(count, process, excluded=NOBODY):
    return assign_roles(peers(count), process, lambda peer: peer.name in excluded)


@given(st.integers(1, 1000))
def test_watchers_are_few_and_never_more_than_there_are_processes(processes):
    count = watcher_count(processes)
    assert 1 <= count <= processes
    assert count == processes or count == WATCHERS, "the cost of a change must not grow"
    feed_servers = feed_server_count(processes)
    assert count <= feed_servers <= processes
    assert processes / feed_servers <= PROCESSES_PER_FEED_SERVER


def test_those_that_have_been_there_longest_watch_whoever_works_it_out():
    known = peers(100)
    seen = [assign_roles(known[::step], "p099", lambda peer: False) for step in (1, -1)]
    assert seen[0] == seen[1]
    assert [peer.name for peer in seen[0].watchers] == ["p000", "p001"]
    assert [peer.name for peer in seen[0].feed_servers] == ["p000", "p001", "p002"]


@pytest.mark.parametrize(
    ("process", "feed_sources"),
    [("p000", []), ("p002", ["p000", "p001"]), ("p050", ["p000", "p001", "p002"])],
)
def test_a_watcher_asks_nobody_and_a_mirror_watchers_only(process, feed_sources):
    assert [peer.name for peer in roles(100, process).feed_sources()] == feed_sources


def test_the_next_process_watches_in_place_of_one_that_is_passed_over():
    seen = roles(100, "p002", {"p000"})
    assert [peer.name for peer in seen.watchers] == ["p001", "p002"] and seen.is_watcher


@pytest.mark.parametrize("excluded", [NOBODY, {"p000", "p001", "p002"}])
def test_where_nobody_is_known_each_acts_for_itself(excluded):
    seen = roles(3 if excluded else 0, "p000", excluded)
    assert seen.is_watcher and seen.serves_readers and seen.feed_sources() == []


@pytest.mark.parametrize(("processes", "expected"), [(0, False), (3, False), (4, True)])
def test_few_processes_have_no_readers(processes, expected):
    assert has_readers(processes) == expected
