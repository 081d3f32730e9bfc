"""A request in the waiting line of the overload gate, with what is needed to decide about it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from crankseam.errors import Unavailable
from crankseam.overload.line import Waiter
from crankseam.overload.messages import GateRequest
from crankseam.overload.permits import Permit


@dataclass(slots=True, eq=False)
class Waiting(Waiter):
    """A waiting request.

    Attributes
    ==========

    place : number of requests that would have got their turn earlier, when it arrived.
    arrived_at : time, in seconds of `clocks.boottime_s`, at which it joined the line.
    decided : its place or its refusal.
    timer : fires when the typical duration no longer fits.
    """

    request: GateRequest = field(kw_only=True)
    place: int = field(kw_only=True)
    arrived_at: float = field(kw_only=True)
    decided: asyncio.Future[Permit | Unavailable] = field(kw_only=True)
    timer: asyncio.TimerHandle | None = None
