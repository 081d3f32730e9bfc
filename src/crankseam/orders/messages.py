"""Orders to samplers, and the reports that samplers return.

Independent of any wire format: a platform adapter implements `SamplerControl` for the protocol of
its samplers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from crankseam.errors import CrankseamError
from crankseam.serving.back_ends import BackEnd


class RunningRequests(enum.Enum):
    """How a sampler treats its running requests when it changes a weight version."""

    FINISH = "finish"
    """They finish before the load starts, and no new request starts in the meantime."""
    CONTINUE = "continue"
    """They pause while the version loads, and continue under the new version."""
    BREAK_OFF = "break_off"
    """Their streams are reset, so that they can be resumed at another sampler at once."""


@dataclass(frozen=True, slots=True)
class SamplerReport:
    """The state that a sampler reports about itself.

    Attributes
    ==========

    versions : loaded weight version by model.
    busy : whether an order is in progress.
    sequence : number of orders that the sampler has accepted since it started.
    """

    versions: dict[str, int]
    busy: bool
    sequence: int


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to load a version of a model.

    The sampler refuses the order unless `expected_sequence` equals its own sequence number.

    Attributes
    ==========

    running_requests : how the sampler treats its running requests.
    holder : the process that holds the duty to give orders.
    fence : fencing token of that duty.
    """

    model: str
    version: int
    running_requests: RunningRequests
    holder: str
    fence: int
    expected_sequence: int


class OrderRefused(CrankseamError):
    """The sampler refused the order: another one is in progress, or its sequence has changed."""


class OrderFenced(CrankseamError):
    """A newer holder of the duty has given orders, so this process must stop giving them."""


class OrderUnanswered(CrankseamError):
    """No usable answer arrived: the order may still be carried out, now or seconds later."""


class SamplerControl(Protocol):
    """Gives orders to samplers and reads their reports."""

    async def report(self, back_end: BackEnd) -> SamplerReport:
        """Return the state of the sampler, which may be slightly out of date.

        Raises
        ======

        OrderUnanswered : the state could not be obtained.
        """

    async def order_version(self, back_end: BackEnd, order: VersionOrder) -> None:
        """Give the order to the sampler.

        Raises
        ======

        OrderRefused : the sampler did not accept the order.
        OrderFenced : the sampler has seen a higher fencing token.
        OrderUnanswered : the order may or may not be carried out.
        """
