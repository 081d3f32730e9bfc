"""The interface to the quarantine for code that sends work to back ends.

Owns no state: combines the quarantine with the detection of crashed back ends (`EndedBackEnds`).
"""

from __future__ import annotations

from crankseam.quarantine.model import RequestIdentity
from crankseam.quarantine.quarantine import Quarantine
from crankseam.quarantine.request_tracker import RequestTracker
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.ended_back_ends import EndedBackEnds
from crankseam.serving.messages import AttemptBroken, AttemptNotRun


class CrashGuard:
    """Creates the trackers of requests, and detects back ends that crashed under them.

    Parameters
    ==========

    ended_back_ends : distinguishes a crashed back end from a broken connection.
    """

    def __init__(self, quarantine: Quarantine, ended_back_ends: EndedBackEnds) -> None:
        self._quarantine = quarantine
        self._ended_back_ends = ended_back_ends

    def track(self, identity: RequestIdentity, crash_limit: int) -> RequestTracker:
        """Returns the tracker of a request that is about to be sent."""
        return RequestTracker(self._quarantine, identity, crash_limit)

    async def crashed_id(self, back_end: BackEnd, failure: AttemptBroken) -> str:
        """Returns the id of a back end that crashed under an attempt; empty if it did not crash."""
        if not failure.lost_connection or not await self._ended_back_ends.has_ended(back_end):
            return ""
        return back_end.record.id

    def on_rejected(self, back_end: BackEnd, refusal: AttemptNotRun) -> None:
        """Handles a rejected request, which may show that another back end runs at the address."""
        if refusal.wrong_instance:
            self._ended_back_ends.record_replacement(back_end)
