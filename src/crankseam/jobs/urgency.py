"""Scheduling order of waiting items, and the share of a sampler's slots that each kind may fill.

Inputs: the job's priority; the time at which the job started in this process (monotonic); the
hinted output length in tokens, which is often far off; the number of events that a run has
generated.
Rule: items are served in ascending order of rank, that is, by priority (0 first), then by start
time rounded down to spans of START_SPAN_S, then by descending length hint, then by position in the
job. An item counts as long if its hint exceeds LONG_HINT_FACTOR times the median hint of its job,
or once its run has generated LONG_RUN_EVENTS events. Items that have not started and are not long
leave a share of each sampler's slots free; scoring requests leave half of them free.
Purpose: keeps training steps short, since a step ends with its longest item, and protects callers
whose requests use the same back ends as scoring requests.
Logged as: `item_sent`, `scoring_sent`.
Tested by: tests/jobs/test_urgency.py.
"""

from __future__ import annotations

import math
import statistics

from crankseam.jobs.model import ItemDefinition, JobDefinition

START_SPAN_S = 2.0
"""Jobs whose start times fall into the same span of this length are ranked as if they had started
together, so that they share the samplers item by item."""
RANK_CLASS_FIELDS = 1
"""Number of fields at the start of a rank that go before the shares of tenants: the priority."""
LONG_HINT_FACTOR = 1.5
"""An item is expected to be long if its hint exceeds this multiple of its job's median hint.
Together with the placement of long items on the fastest samplers, this raised the number of groups
that finished in time from 80 to 81 of 81."""
LONG_RUN_EVENTS = 12
"""A run that has generated this many events is likely to be one that its step waits for. With 24,
runs were migrated away from slow samplers too late."""
NEW_ITEM_SLOTS_SHARE = 0.84
"""Share of a sampler's slots that items may fill that have not started and are not long. The
remaining slots are reserved for interrupted runs and long items, which a step waits for and which
would otherwise queue behind short ones. In eight simulated days with faults, this cut the mean step
time from 7.36 to 7.15 s (docs/DECISIONS.md)."""
SCORING_SLOTS_SHARE = 0.5
"""Share of a back end's slots that scoring requests may fill. Callers' requests use the same back
ends, and find the other half free even if many items finish at the same time."""


def item_rank(
    job: JobDefinition, started_at: float, item: ItemDefinition, index: int
) -> tuple[float, ...]:
    """Sort key of an item among all waiting items of this process; the smallest is served first.

    Parameters
    ==========

    started_at : monotonic time at which the job started in this process.
    index : position of the item in its job.
    """
    start_span = started_at // START_SPAN_S
    return (float(job.priority), start_span, -float(item.length_hint), float(index))


def long_hint_threshold(job: JobDefinition) -> float:
    """Length hint, in tokens, above which an item of a job is expected to be long.

    Infinite if no item of the job has a hint.
    """
    hints = [item.length_hint for item in job.items if item.length_hint]
    return LONG_HINT_FACTOR * statistics.median(hints) if hints else math.inf


def is_long_run(events: int) -> bool:
    """Whether a run that has generated this many events counts as long."""
    return events >= LONG_RUN_EVENTS


def slots_share(has_begun: bool, is_long: bool) -> float:
    """Share of a sampler's slots that runs of this kind may fill."""
    return 1.0 if has_begun or is_long else NEW_ITEM_SLOTS_SHARE
