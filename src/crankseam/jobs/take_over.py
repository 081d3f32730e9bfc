"""Decides which process takes over a job whose owner is gone, and when.

Inputs: the keys of open jobs, owners and living processes in this process's copy of the store,
which is as old as its last watch; the capacities of the machines. An owner's key is removed with
its lease, 1.8 s after its process was killed.
Rule: an open job needs an owner if it has none, or if its owner is an earlier incarnation of this
process. The processes are ranked for the job's model, large machines first. The first one tries
almost at once; each of the next ones waits long enough to see the success of the one before. The
store lets exactly one claim win.
Purpose: to resume a step whose process was killed, without all processes sending claims to the
store at the same moment.
Logged as: `job_taken_over`, `job_lost`.
Tested by: tests/jobs/test_take_over.py, test_claims.py and test_service.py; the ranking by
tests/coordination/test_ranking.py.
"""

from __future__ import annotations

from crankseam.coordination.ranking import attempt_delay_s, rank_by_capacity

MAX_CLAIM_RETRY_DELAY_S = 1.0
"""Longest delay before a claim is retried while the store does not answer. The delay is random and
at least half of this."""
FORMER_OWNER_POLL_DURATION_S = 8.0
"""Seconds for which a new owner polls for results that the former owner listed: a write that got no
answer may take effect this much later."""
FORMER_OWNER_POLL_INTERVAL_S = 0.6
"""Seconds between two such polls; must be less than MAX_CHECK_AGE_S of result_listing.py."""


def needs_owner(
    is_open: bool, owner: bytes | None, process: bytes, is_owned_under_current_lease: bool
) -> bool:
    """Whether a job is open and has no living owner, as far as this process knows.

    Parameters
    ==========

    is_open : whether the job is open.
    owner : name of the process that owns it; None if it has no owner.
    process : this process's name.
    is_owned_under_current_lease : whether this process owns the job under its current lease.
    """
    if not is_open:
        return False
    if owner is None:
        return True
    # An owner key of this process under an old lease was left by an earlier incarnation.
    return owner == process and not is_owned_under_current_lease


def claim_delay_s(subject: str, living: dict[str, float], process: str) -> float:
    """Seconds for which this process leaves a job to the processes that rank before it.

    Parameters
    ==========

    subject : what the processes are ranked for: the job's model, so that successive jobs of one
        model go to the same process.
    living : capacities of the machines of the living processes, by process name.
    process : this process's name.
    """
    return attempt_delay_s(rank_by_capacity(subject, living), process)
