"""When is a request held back, when is it tried again, when is it released or forgotten?

Inputs: ids of the back ends that ended under the request and the probes since, as the store holds
them (as old as the last answer of a watch); seconds since this process learned of the last change;
sends that are under way here.
Rule: Once as many back ends ended under it as may (two; of an item three without an event between),
it is sent to nobody. After a hold of 3, 12 and 48 s the process that wins the store's
compare-and-swap sends it once, to one back end. A whole answer, of an item its first event,
releases it everywhere; after three probes that ended a back end, only an operator or a day does.
Protects: a service from a request that ends each of its back ends; healthy requests that only stood
beside it are free after the first hold.
Shown by: `request_held`, `item_held`, `suspect_probed`, `suspect_released`.
Held by: tests/quarantine/, tests/platform/test_crashing_requests.py. Figures: docs/design/14.
"""

from __future__ import annotations

from crankseam.serving.routes import RequestKind

DEFAULT_MOST_ENDS = 2
"""Back ends that may end under one request before it is held back. A request that a crash broke is
served at its second try; one that ends each back end leaves a service of three with one."""
DEFAULT_MOST_ENDS_OF_ITEM = 3
"""The same for an item of a job. A sampler that ends takes a dozen items with it, which go on
elsewhere at once: of twelve on six samplers two meet the culprit a second time, and one in three
times one of them does a third time."""
MOST_PROBES = 3
"""So often a request that is held back is tried again; after that only an operator releases it."""
FIRST_HOLD_S = 3.0
"""A request that is held back is tried again after this: a healthy one, which was there by bad
luck, is free then. An item that waits longer would cost its step."""
HOLD_FACTOR = 4.0
"""Each probe under which a back end ended makes the hold longer by this."""
SUSPECTED_S = 600.0
"""An end under a request that is not held back counts for so long."""
HELD_LONGEST_S = 86_400.0
"""A request that is held back is forgotten after this."""
TOLD_LONGEST_S = 60.0
"""What a peer told and the store never took is forgotten after this: whoever told it is gone."""
PROBE_RETRY_S = 0.5
"""A probe that the store did not give, or gave to another process, is asked for again."""
PROBE_TURN_S = 0.05
"""An item whose hold is over asks so often whether another suspect's probe is over."""


def default_most_ends(kind: RequestKind) -> int:
    """Back ends that may end under one request of a route that says nothing of it."""
    return DEFAULT_MOST_ENDS_OF_ITEM if kind is RequestKind.JOB else DEFAULT_MOST_ENDS


def is_held(ends: int, most_ends: int) -> bool:
    """Whether as many back ends ended as may."""
    return ends >= most_ends


def hold_s(probes: int) -> float:
    """Seconds for which it is held back since its last change."""
    if probes >= MOST_PROBES:
        return HELD_LONGEST_S
    return FIRST_HOLD_S * HOLD_FACTOR**probes


def remembered_s(held: bool, stored: bool) -> float:
    """Seconds for which it is remembered since its last change.

    Parameters
    ==========

    held : whether it is held back.
    stored : whether the store holds it, or only a peer told of it.
    """
    if not stored:
        return TOLD_LONGEST_S
    return HELD_LONGEST_S if held else SUSPECTED_S


def may_send_again(ends: int, sends_under_way: int, most_ends: int) -> bool:
    """Whether it may be sent once more; each send that is under way may end its back end too."""
    return ends + sends_under_way < most_ends


def retry_after_s(held_for_s: float) -> float:
    """Seconds after which a caller may come back: its hold is over, or the probe is another's."""
    return max(held_for_s, PROBE_RETRY_S)


def probe_pause_s(held_for_s: float) -> float:
    """Seconds after which an item asks again whether it may be tried."""
    return min(PROBE_RETRY_S, max(held_for_s, PROBE_TURN_S))
