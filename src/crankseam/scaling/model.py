"""Data types of sampler scaling: the operator's limits, the present samplers, and orders.

Independent of any wire format: an adapter implements `SamplerProvisioner` with the calls of its
platform.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol

from crankseam.errors import CrankseamError

DEFAULT_BOOT_S = 5.0
"""Seconds that a sampler is assumed to take to boot if the operator does not configure a value."""


class OrderConflict(CrankseamError):
    """The zone has no samplers available, or a newer holder of the duty has acted.

    The answer of the platform does not tell these two cases apart.
    """


class Kind(enum.Enum):
    """The terms on which a sampler is ordered."""

    STANDING = "standing"
    """It stays until a lower count is ordered."""
    SPOT = "spot"
    """It is cheaper, but the platform may reclaim it at short notice, together with all other spot
    samplers of its zone."""


@dataclass(frozen=True, slots=True)
class ScalingBounds:
    """Limits and prices that the operator sets for the samplers of a service.

    Attributes
    ==========

    min_samplers, max_samplers : minimum and maximum number of samplers in a zone, of both kinds
        together.
    boot_s : seconds from an order until the sampler serves requests.
    spot_price : price of a spot sampler as a fraction of the price of a standing one; None if the
        service has no spot samplers.
    zone_prices : price of a standing sampler per second, by zone.
    """

    min_samplers: int
    max_samplers: int
    boot_s: float = DEFAULT_BOOT_S
    spot_price: float | None = None
    zone_prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ZoneSupply:
    """Number of samplers of a service that serve in one zone and are not leaving, by kind."""

    standing: int = 0
    spot: int = 0


@dataclass(frozen=True, slots=True)
class Order:
    """Order that sets the number of samplers of one kind in a zone, with the reason for it."""

    service: str
    zone: str
    kind: Kind
    count: int
    reason: str


class SamplerProvisioner(Protocol):
    """Interface of the platform that provides samplers."""

    async def order_samplers(self, order: Order, holder: str, fence: int) -> None:
        """Set the number of samplers of one kind in a zone.

        Raises
        ======

        OrderConflict : the zone has no samplers available, or a newer holder has acted.
        DutyRefused : the platform did not carry out the order.
        DutyUnanswered : the order may have been carried out, or may be seconds later.
        """
