"""Distinguishes a back end that terminated unexpectedly from one whose connection merely broke.

Inputs: the state of the back end in discovery; whether its address accepts connections immediately
after a connection broke.
Rule: A back end has ended unexpectedly if discovery lists it as serving and its address refuses
connections or belongs to another back end by now. A back end that was leaving has ended as planned.
A back end whose address does not respond at all is not considered ended.
Purpose: Prevents requests from being quarantined because of connections that broke for other
reasons.
Logged as: `back_end_ended`.
Tested by: tests/serving/test_ended_back_ends.py.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from crankseam.serving.back_ends import BackEnd, BackEndRegistry

log = logging.getLogger(__name__)

CONNECTION_REFUSED = "its address refuses connections"
OTHER_BACK_END_ANSWERED = "another back end answers at its address"


class AddressProbe(Protocol):
    """Checks whether any process listens at the address of a back end."""

    async def refuses_connections(self, back_end: BackEnd) -> bool:
        """Whether a connection attempt was refused; False if there was no response at all."""


class EndedBackEnds:
    """Detects back ends that terminated without announcing it.

    Explanation
    ===========

    A broken connection alone does not prove a termination: resets, broken links, the loading of
    weights and lost responses break connections too.

    Parameters
    ==========

    registry : back ends as discovery reports them.
    probe : checks the address of a back end.
    """

    def __init__(self, registry: BackEndRegistry, probe: AddressProbe) -> None:
        self._registry = registry
        self._probe = probe
        self._running_probes: dict[str, asyncio.Task[bool]] = {}
        """By back end id; requests that break at the same time share one probe."""

    async def has_ended(self, back_end: BackEnd) -> bool:
        """Whether a back end has ended; called immediately after a request to it broke."""
        if back_end.has_ended:
            return True
        if not self._registry.is_not_leaving(back_end):
            return False
        key = back_end.record.id
        running_probe = self._running_probes.get(key)
        if running_probe is None:
            running_probe = self._running_probes[key] = asyncio.create_task(
                self._probe_address(back_end)
            )
            running_probe.add_done_callback(lambda _: self._running_probes.pop(key, None))
        return await asyncio.shield(running_probe)

    async def _probe_address(self, back_end: BackEnd) -> bool:
        if await self._probe.refuses_connections(back_end):
            self._mark_ended(back_end, CONNECTION_REFUSED)
        return back_end.has_ended

    def record_replacement(self, back_end: BackEnd) -> None:
        """Record that another back end answered at the address of this one."""
        if not back_end.has_ended and self._registry.is_not_leaving(back_end):
            self._mark_ended(back_end, OTHER_BACK_END_ANSWERED)

    def _mark_ended(self, back_end: BackEnd, evidence: str) -> None:
        back_end.record_end()
        log.warning(
            "back_end_ended",
            extra={
                "back_end": back_end.record.id,
                "service": back_end.record.service,
                "evidence": evidence,
                "running": back_end.in_flight,
            },
        )
