"""One send of an item's run or scoring request, with its outcome noted for the quarantine."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.trial import Send
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.messages import AttemptBroken, AttemptNotRun

T = TypeVar("T")


async def noted_send(guard: CrashGuard, send: Send, back_end: BackEnd, attempt: Awaitable[T]) -> T:
    """Await an attempt at a back end, and note for its trial what came of it.

    Raises
    ======

    AttemptNotRun, AttemptBroken, and what else the attempt raises.
    """
    try:
        answer = await attempt
    except AttemptNotRun as refusal:
        send.was_not_run = True
        guard.rejected(back_end, refusal)
        raise
    except AttemptBroken as failure:
        send.ended_id = await guard.ended_id(back_end, failure)
        raise
    send.was_answered = True
    return answer
