"""What every way of sending work to back ends asks of the quarantine.

Owns nothing: joins the quarantine with the evidence that a back end ended (`EndedBackEnds`).
"""

from __future__ import annotations

from crankseam.quarantine.model import TrialSubject
from crankseam.quarantine.quarantine import Quarantine
from crankseam.quarantine.trial import Trial
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.ended_back_ends import EndedBackEnds
from crankseam.serving.messages import AttemptBroken, AttemptNotRun


class CrashGuard:
    """Trials of requests, and which back ends ended under them.

    Parameters
    ==========

    ends : tells a back end that ended from one whose connection broke.
    """

    def __init__(self, quarantine: Quarantine, ends: EndedBackEnds) -> None:
        self._quarantine = quarantine
        self._ends = ends

    def begin(self, subject: TrialSubject, crash_limit: int) -> Trial:
        """The trial of a request that is about to be sent."""
        return Trial(self._quarantine, subject, crash_limit)

    async def ended_id(self, back_end: BackEnd, failure: AttemptBroken) -> str:
        """The id of a back end that ended under an attempt; empty if it did not."""
        if not failure.lost_connection or not await self._ends.has_ended(back_end):
            return ""
        return back_end.record.id

    def rejected(self, back_end: BackEnd, refusal: AttemptNotRun) -> None:
        """A back end rejected a request: perhaps another one stands at its address."""
        if refusal.wrong_instance:
            self._ends.found_another(back_end)
