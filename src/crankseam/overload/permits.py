"""Places of requests that passed the overload gate."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Protocol

from crankseam.overload.held_body import HeldBody
from crankseam.overload.messages import GateRequest
from crankseam.overload.service_state import ServiceState


class PermitIssuer(Protocol):
    """What a permit tells the gate that granted it; see `gate.OverloadGate`."""

    def record_answer(self, state: ServiceState, request: GateRequest, granted_at: float) -> None:
        """Record the latency of a request that succeeded."""

    def try_hedge(self, state: ServiceState, request: GateRequest, slow: str) -> bool:
        """Whether a request may be hedged; if so, the hedge occupies a place."""

    def record_end(self, state: ServiceState, granted_at: float) -> None:
        """Record for how long a request occupied its place."""

    def dispatch(self, state: ServiceState, service: str) -> None:
        """Let the next requests run after places were given back."""


class Permit:
    """Place of one request, to be released when the request has ended.

    Parameters
    ==========

    gate : the gate that granted the place.
    state : state of the service; None if the service is not limited.
    granted_at : monotonic time of the grant.
    """

    def __init__(
        self,
        gate: PermitIssuer,
        state: ServiceState | None,
        request: GateRequest,
        granted_at: float,
    ) -> None:
        self._gate = gate
        self._request = request
        self._granted_at = granted_at
        self._hedges = 0
        self._state = state

    @property
    def is_limited(self) -> bool:
        """Whether the service is limited and the place was not given back."""
        return self._state is not None

    def record_answer(self) -> None:
        """Record that the request succeeded without a rejection by a back end."""
        if self._state is not None:
            self._gate.record_answer(self._state, self._request, self._granted_at)

    def hold_during(self, chunks: AsyncGenerator[bytes, None]) -> AsyncGenerator[bytes, None]:
        """Return the body of a streamed answer such that its end releases this permit."""
        return chunks if self._state is None else HeldBody(chunks, self.release)

    def may_hedge(self, slow: str) -> bool:
        """Whether a hedge may be sent; it then holds a place until this permit is released.

        Parameters
        ==========

        slow : id of the back end whose answer is late.
        """
        if self._state is None:
            return True
        if not self._gate.try_hedge(self._state, self._request, slow):
            return False
        self._hedges += 1
        return True

    def release(self, may_have_run: bool = True) -> None:
        """Give the place back; further calls do nothing.

        Parameters
        ==========

        may_have_run : whether a back end may have run the request.
        """
        state, self._state = self._state, None
        if state is None:
            return
        state.running -= 1 + self._hedges
        if may_have_run:
            self._gate.record_end(state, self._granted_at)
        self._gate.dispatch(state, self._request.service)
