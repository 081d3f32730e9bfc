"""The take-over rule, tested without a store."""

import pytest

from crankseam.coordination.ranking import ATTEMPT_DELAY_STEP_S, FIRST_ATTEMPT_DELAY_S
from crankseam.jobs.take_over import claim_delay_s, needs_owner


@pytest.mark.parametrize(
    ("is_open", "owner", "is_current", "needs"),
    [
        (False, None, False, False),
        (True, None, False, True),
        (True, b"other", False, False),
        (True, b"me", True, False),
        (True, b"me", False, True),
    ],
    ids=["ended", "no owner", "another process", "this process", "its earlier incarnation"],
)
def test_a_job_needs_an_owner(is_open, owner, is_current, needs):
    assert needs_owner(is_open, owner, b"me", is_current) == needs


def test_processes_of_large_machines_take_their_turns_first():
    living = {"small": 1.0, "large": 8.0}
    assert claim_delay_s("m", living, "large") == FIRST_ATTEMPT_DELAY_S
    assert claim_delay_s("m", living, "small") == pytest.approx(
        FIRST_ATTEMPT_DELAY_S + ATTEMPT_DELAY_STEP_S
    )
