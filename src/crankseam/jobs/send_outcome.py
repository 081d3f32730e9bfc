"""Records the outcome of sending an item or a scoring request, for the quarantine."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.request_tracker import Send
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.messages import AttemptBroken, AttemptNotRun

T = TypeVar("T")


async def record_send_outcome(
    guard: CrashGuard, send: Send, back_end: BackEnd, attempt: Awaitable[T]
) -> T:
    """Await an attempt at a back end and record its outcome in `send`.

    Raises
    ======

    AttemptNotRun, AttemptBroken, and any other exception of the attempt.
    """
    try:
        answer = await attempt
    except AttemptNotRun as refusal:
        send.was_not_run = True
        guard.on_rejected(back_end, refusal)
        raise
    except AttemptBroken as failure:
        send.crashed_id = await guard.crashed_id(back_end, failure)
        raise
    send.was_answered = True
    return answer
