"""Which of the items that wait for a place goes first, and which ones a step waits for.

Inputs: the job's priority and start (monotonic), the hinted length of the output in tokens, which
is often far off, and the events that a run has made.
Rule: smaller ranks go first: by priority, then by start in spans of SAME_TIME_S, then the longer
hint, then the order of submission. An item is long if its hint is much above its job's median, or
once its run has made LONG_RUN_EVENTS. Items that have not begun and are not long leave a share of
each sampler's slots free; scoring requests leave half.
Protects: the length of a step, which ends with its longest item; callers that use the same back
ends as scoring requests.
Shown by: `item_sent`, `scoring_sent`. Held by: tests/jobs/test_urgency.py.
"""

from __future__ import annotations

import math
import statistics

from crankseam.jobs.model import ItemDefinition, JobDefinition

SAME_TIME_S = 2.0
"""Jobs that began within this time share the samplers item by item. Origin not recorded."""
LONG_FACTOR = 1.5
"""An item whose hint is this much above its job's median is a long one. Measured together
with the choice of the fastest samplers: 80 -> 81 of 81 groups in time."""
LONG_RUN_EVENTS = 12
"""A run of so many events is likely to be among those that the step waits for. At 24 events runs
left slow samplers too late. Not measured by itself."""
FRESH_SLOTS_SHARE = 0.84
"""Items that have not begun leave the other slots to runs that were broken off, and to long ones:
those are what a step waits for, and would else wait for a short one's end. Eight played days with
trouble: worth 0.763 -> 0.790, mean step 7.36 -> 7.15 s (docs/DECISIONS.md)."""
SCORING_SLOTS_SHARE = 0.5
"""Of a back end's slots, scoring requests fill so many at most: callers' requests use the same back
ends and find the other half free, whatever burst of items ends at once. A choice, not measured."""


def rank_of(
    job: JobDefinition, started_at: float, item: ItemDefinition, index: int
) -> tuple[float, ...]:
    """The order of an item among all that wait in this process; smaller goes first.

    Parameters
    ==========

    started_at : monotonic time at which the job began to run here.
    index : of the item in its job.
    """
    begun = started_at // SAME_TIME_S
    return (float(job.priority), begun, -float(item.length_hint), float(index))


def long_hint(job: JobDefinition) -> float:
    """Hinted tokens above which an item of a job is expected to be long; infinite without hints."""
    hints = [item.length_hint for item in job.items if item.length_hint]
    return LONG_FACTOR * statistics.median(hints) if hints else math.inf


def is_long_run(events: int) -> bool:
    """Whether a run that made so many events turns out long."""
    return events >= LONG_RUN_EVENTS


def slots_share(has_begun: bool, is_long: bool) -> float:
    """What part of a sampler's slots a run may fill."""
    return 1.0 if has_begun or is_long else FRESH_SLOTS_SHARE
