"""Which process takes over a job whose owner is gone, and when.

Inputs: the keys of open jobs, owners and living processes, as this process follows them (as old as
its last watch); the sizes of the machines. An owner's key goes with its lease, 1.8 s after its
process was killed.
Rule: an open job without an owner, or with an earlier life of this process as its owner, needs one.
The processes are ranked for the job's model, large machines first; the first one tries at once, the
next so much later that it sees the first one's success. The store decides: one claim wins.
Protects: a step whose process was killed; the store from claims of all processes at one moment.
Shown by: `job_taken_over`, `job_lost`. Held by: tests/jobs/test_take_over.py, test_claims.py,
test_service.py; the ranks by tests/coordination/test_ranking.py.
"""

from __future__ import annotations

from crankseam.coordination.ranking import rank_by_capacity, turn_delay_s

MAX_CLAIM_RETRY_DELAY_S = 1.0
"""Longest pause between two tries to claim a job while the store does not answer; at least half of
it, at random. Origin not recorded."""
FORMER_OWNER_POLL_DURATION_S = 8.0
"""A write that got no answer may take effect so much later: for so long the new owner looks for
results that the former one listed. Origin not recorded."""
FORMER_OWNER_POLL_INTERVAL_S = 0.6
"""Seconds between two such looks; below UNCHECKED_S of result_listing.py. Origin not recorded."""


def needs_owner(
    is_open: bool, owner: bytes | None, process: bytes, is_owned_under_current_lease: bool
) -> bool:
    """Whether a job is open and has no living owner, as far as is known.

    Parameters
    ==========

    owner : name of the process that owns it; None if it has no owner.
    process : this process's name.
    is_owned_under_current_lease : whether this process owns it now.
    """
    if not is_open:
        return False
    if owner is None:
        return True
    # An earlier life of this process is no living owner.
    return owner == process and not is_owned_under_current_lease


def claim_delay_s(subject: str, living: dict[str, float], process: str) -> float:
    """How long this process leaves a job to those that rank before it.

    Parameters
    ==========

    subject : what processes are ranked for: the model, whose next jobs go to the same process.
    living : sizes of the machines of the living processes, by name.
    process : this process's name.
    """
    return turn_delay_s(rank_by_capacity(subject, living), process)
