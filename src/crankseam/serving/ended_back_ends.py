"""Did a back end end, or did only its connection break?

Inputs: what discovery shows of it, and whether its address takes connections right after the break.
Rule: It ended if discovery shows it serving and its address refuses connections, or answers as
another back end. One that was leaving ended as planned; one that is silent is not known to have
ended.
Protects: requests from being held back for connections that broke for other reasons.
Shown by: `back_end_ended`. Held by: tests/serving/test_ended_back_ends.py.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from crankseam.serving.back_ends import BackEnd, BackEndRegistry

log = logging.getLogger(__name__)

ADDRESS_REFUSES = "its address refuses connections"
ADDRESS_IS_ANOTHERS = "another back end answers at its address"


class AddressProbe(Protocol):
    """Looks whether anything listens at a back end's address."""

    async def refuses_connections(self, back_end: BackEnd) -> bool:
        """Whether the address said that nothing listens there; False if it said nothing."""


class EndedBackEnds:
    """Which back ends ended without having said so.

    A connection breaks for many reasons: a reset, a cut link, a load of weights, a lost answer.

    Parameters
    ==========

    registry : what discovery says of back ends.
    """

    def __init__(self, registry: BackEndRegistry, probe: AddressProbe) -> None:
        self._registry = registry
        self._probe = probe
        self._looks: dict[str, asyncio.Task[bool]] = {}
        """One look for all requests that broke together, by back end."""

    async def has_ended(self, back_end: BackEnd) -> bool:
        """Look, right after a request broke there."""
        if back_end.has_ended:
            return True
        if not self._registry.is_staying(back_end):
            return False
        key = back_end.record.id
        look = self._looks.get(key)
        if look is None:
            look = self._looks[key] = asyncio.create_task(self._look(back_end))
            look.add_done_callback(lambda _: self._looks.pop(key, None))
        return await asyncio.shield(look)

    async def _look(self, back_end: BackEnd) -> bool:
        if await self._probe.refuses_connections(back_end):
            self._found(back_end, ADDRESS_REFUSES)
        return back_end.has_ended

    def found_another(self, back_end: BackEnd) -> None:
        """Another back end answered at its address."""
        if not back_end.has_ended and self._registry.is_staying(back_end):
            self._found(back_end, ADDRESS_IS_ANOTHERS)

    def _found(self, back_end: BackEnd, evidence: str) -> None:
        back_end.ended()
        log.warning(
            "back_end_ended",
            extra={
                "back_end": back_end.record.id,
                "service": back_end.record.service,
                "evidence": evidence,
                "running": back_end.in_flight,
            },
        )
