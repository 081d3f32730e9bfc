"""What is ordered of a sampler, and what it reports.

Free of any wire: an adapter implements `SamplerControl` by the protocol of its samplers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from crankseam.errors import CrankseamError
from crankseam.serving.back_ends import BackEnd


class RunningRequests(enum.Enum):
    """What happens to requests that run while a version changes."""

    FINISH = "finish"
    """They finish first, and nothing new begins meanwhile."""
    CONTINUE = "continue"
    """They go on under the new version, after standing still while it loads."""
    BREAK_OFF = "break_off"
    """Their streams are reset, to be resumed at another sampler at once."""


@dataclass(frozen=True, slots=True)
class SamplerReport:
    """A sampler's own word.

    Attributes:
        versions: weight version by model.
        busy: an order is under way.
        sequence: orders taken since its start.
    """

    versions: dict[str, int]
    busy: bool
    sequence: int


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Bring a model to a version; refused unless `expected_sequence` is the sampler's."""

    model: str
    version: int
    running: RunningRequests
    holder: str
    fence: int
    expected_sequence: int


class OrderRefused(CrankseamError):
    """The sampler did not take the order: another is under way, or the sequence has moved."""


class OrderFenced(CrankseamError):
    """A newer holder has given orders: this one must stop."""


class OrderUnanswered(CrankseamError):
    """No answer came: the order may be carried out, now or seconds later."""


class SamplerControl(Protocol):
    """Orders and reports of samplers."""

    async def report(self, back_end: BackEnd) -> SamplerReport:
        """The sampler's state some moments ago; raises OrderUnanswered if it can't be had."""

    async def order_version(self, back_end: BackEnd, order: VersionOrder) -> None:
        """Give the order; raises OrderRefused, OrderFenced, OrderUnanswered."""
