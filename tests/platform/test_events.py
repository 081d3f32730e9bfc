import pytest
from crankseam_platform.generations import EventParser, MalformedEvent
from hypothesis import given
from hypothesis import strategies as st

STREAM = b"id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: \n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_how_the_stream_is_cut(cuts):
    edges = [0, *sorted(cuts), len(STREAM)]
    parser = EventParser(2)
    events = []
    for start, end in zip(edges, edges[1:], strict=False):
        events += parser.feed(STREAM[start:end])
    assert [(event.number, event.data, event.version) for event in events] == [
        (1, "a", 2),
        (2, "b\nc", 3),
        (3, "", 3),
    ]
    assert parser.is_between_events


def test_an_incomplete_last_event_is_detected():
    parser = EventParser(1)
    parser.feed(b"id: 1\ndata: a\n\nid: 2")
    assert not parser.is_between_events


@pytest.mark.parametrize("block", [b"data: a\n\n", b"id: x\ndata: a\n\n", b"id: 1\ndata: \xff\n\n"])
def test_bytes_that_are_no_event_are_refused(block):
    with pytest.raises(MalformedEvent):
        EventParser(1).feed(block)


@given(st.binary(max_size=200))
def test_any_bytes_give_events_or_a_typed_error(block):
    try:
        EventParser(1).feed(block + b"\n\n")
    except MalformedEvent:
        pass
