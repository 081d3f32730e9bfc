"""Inputs of the overload gate, and the causes of its refusals."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from crankseam import clocks
from crankseam.serving.messages import InboundRequest
from crankseam.serving.routes import Route


class RefusalCause(enum.Enum):
    """Why a request was refused at the gate."""

    ESTIMATE = "no answer in time"
    LINE_FULL = "line full"
    DISPLACED = "displaced by another request"
    NO_BACK_END = "no back end"


class ContentionLookup(Protocol):
    """Tells for which services overload control is in effect; see `serving.contention`."""

    def is_contended(self, service: str, /) -> bool:
        """Whether callers compete for a service."""


class GateClocks(NamedTuple):
    """Clocks of a gate, in seconds; see `crankseam.clocks`."""

    boottime_s: Callable[[], float] = clocks.boottime_s
    monotonic_s: Callable[[], float] = clocks.monotonic_s


SYSTEM_CLOCKS = GateClocks()
"""Clocks of the machine."""


class GateRequest(NamedTuple):
    """A request at the gate.

    Attributes
    ==========

    give_up_at : time, in seconds of `clocks.boottime_s`, at which the request is given up.
    """

    inbound: InboundRequest
    route: Route
    service: str
    give_up_at: float

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is served first."""
        priority = self.inbound.priority
        return self.route.priority if priority is None else priority
