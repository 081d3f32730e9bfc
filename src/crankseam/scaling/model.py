"""What may be ordered of a service, what is there, and what is wanted.

Free of any wire: an adapter implements `SamplerMarket` by the calls of its platform.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol

from crankseam.errors import CrankseamError

DEFAULT_BOOT_S = 5.0
"""Seconds that a sampler takes to boot, where the operator does not say it; origin not recorded."""


class OrderConflict(CrankseamError):
    """None can be had there now, or a newer holder has acted: the answer does not say which."""


class Kind(enum.Enum):
    """How a sampler was ordered."""

    STANDING = "standing"
    """It stays until it is ordered away."""
    SPOT = "spot"
    """Cheaper, and may be taken away at short notice, with all of its zone."""


@dataclass(frozen=True, slots=True)
class ScalingBounds:
    """What the operator allows for a service.

    Attributes
    ==========

    smallest, largest : samplers of a zone, of both kinds together.
    boot_s : seconds from an order until a sampler serves.
    spot_price : price of a spot sampler as a share of a standing one's; None: there are none.
    zone_prices : price of a standing sampler for a second, by zone.
    """

    smallest: int
    largest: int
    boot_s: float = DEFAULT_BOOT_S
    spot_price: float | None = None
    zone_prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ZoneSupply:
    """Samplers of a service in one zone that serve and are not leaving, by kind."""

    standing: int = 0
    spot: int = 0


@dataclass(frozen=True, slots=True)
class Order:
    """How many samplers of one kind a zone is to hold, and why."""

    service: str
    zone: str
    kind: Kind
    count: int
    reason: str


class SamplerMarket(Protocol):
    """Takes orders for samplers."""

    async def order_samplers(self, order: Order, holder: str, fence: int) -> None:
        """Set how many samplers of a kind a zone holds.

        Raises
        ======

        OrderConflict : none can be had there now, or a newer holder has acted.
        DutyRefused : nothing was done.
        DutyUnanswered : it may have been done, or may be seconds later.
        """
