"""Decides which share of a contended service's capacity each of its models gets.

Inputs: the number of slots of the service, as of now; for each model the work of its open jobs by
priority and the time left for it, as recent peaks, from the keys of open jobs.
Rule: the need of a model is its work divided by the time left for it. Each model first gets its
quota, a fraction of what the rule of `shares.py`, without priorities, would give it. Then the needs
are served by priority, each up to the need; models of one priority that can't all be served get
equal parts of what they lack. If all needs are met, the shares are in proportion to the needs, but
not below the quota.
A model without recent work keeps only its quota if the shares do not cover another's need, and gets
its share back when its next job opens. Shares change only if one of them deviates from its new
value by more than a threshold, and not while the work of a model is unknown. They are equal until
the work of every model has been known.
Purpose: a late or urgent model must not wait because a less urgent one has samplers to spare.
Logged as: `capacity_shared`.
Tested by: tests/orders/test_urgent_shares.py.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from crankseam.orders.demand import ModelWork
from crankseam.orders.shares import REBALANCE_THRESHOLD, shares_by_work

QUOTA_FRACTION = 0.75
"""Fraction of its share without priorities that each model keeps, however urgent the others are. A
less urgent job then takes at most a third longer than without priorities, apart from the rounding
to whole samplers. The value is not derived from the due times that callers state; see
docs/design/15b-shares.md.
Needs are estimates that show a change of the samplers' speed only after several steps; with a
smaller quota, a model whose need is estimated too high would get slots that it can't use."""


class ShareReason(enum.Enum):
    """Why the shares are as they are."""

    UNKNOWN = "work unknown"
    """The work of a model has not been known yet, so the shares are equal."""
    FITS = "all needs are met"
    SCARCE = "needs exceed the capacity"
    """The more urgent priority was served first."""


@dataclass(frozen=True, slots=True)
class CapacityShares:
    """Fraction of a service's capacity by model; empty for equal shares."""

    shares: dict[str, float] = field(default_factory=dict)
    reason: ShareReason = ShareReason.UNKNOWN


def urgent_shares(works: dict[str, ModelWork], capacity: float) -> CapacityShares:
    """Return the shares of the capacity; they add up to 1.

    Parameters
    ==========

    works : recent work of each model of the service; at least one.
    capacity : number of slots of the service; positive.

    Examples
    ========

    >>> from crankseam.orders.demand import DueWork
    >>> urgent, rest = DueWork(0, 90.0, 1.0), DueWork(1, 90.0, 1.0)
    >>> works = {"a": ModelWork((urgent,)), "b": ModelWork((rest,))}
    >>> urgent_shares(works, 100.0).shares
    {'a': 0.625, 'b': 0.375}
    >>> urgent_shares(works, 200.0).shares
    {'a': 0.5, 'b': 0.5}
    """
    quotas = _quotas(works, capacity)
    granted = dict(quotas)
    remaining = capacity - sum(quotas.values())
    lacking_by_priority = _lacking_by_priority(works, quotas)
    for priority in sorted(lacking_by_priority):
        lacking = lacking_by_priority[priority]
        total = sum(lacking.values())
        if total > remaining:
            _grant(granted, lacking, remaining / total)
            return CapacityShares(_fractions(granted), ShareReason.SCARCE)
        _grant(granted, lacking, 1.0)
        remaining -= total
    return CapacityShares(
        _fractions(_in_proportion(_needs(works), quotas, capacity)), ShareReason.FITS
    )


def _needs(works: dict[str, ModelWork]) -> dict[str, float]:
    return {model: work.needed_slots for model, work in works.items()}


def _quotas(works: dict[str, ModelWork], capacity: float) -> dict[str, float]:
    """Return the slots that each model keeps, however urgent the others are."""
    needs = _needs(works)
    if not any(needs.values()):
        return dict.fromkeys(works, QUOTA_FRACTION * capacity / len(works))
    return {
        model: QUOTA_FRACTION * capacity * share for model, share in shares_by_work(needs).items()
    }


def _lacking_by_priority(
    works: dict[str, ModelWork], quotas: dict[str, float]
) -> dict[int, dict[str, float]]:
    """Return the slots that each model needs beyond its quota, by priority.

    The quota of a model covers its most urgent work first.
    """
    lacking: dict[int, dict[str, float]] = {}
    for model, work in works.items():
        unused_quota = quotas[model]
        for due in sorted(work.due, key=lambda due: due.priority):
            covered = min(due.needed_slots, unused_quota)
            unused_quota -= covered
            lacking.setdefault(due.priority, {})[model] = due.needed_slots - covered
    return lacking


def _grant(granted: dict[str, float], slots: dict[str, float], fraction: float) -> None:
    for model, count in slots.items():
        granted[model] += count * fraction


def _in_proportion(
    needs: dict[str, float], quotas: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the slots of each model in proportion to its need, but at least its quota."""
    granted = dict(quotas)
    proportional = {model: need for model, need in needs.items() if need > 0.0}
    while proportional:
        others = sum(quota for model, quota in quotas.items() if model not in proportional)
        total = sum(proportional.values())
        slots = {
            model: (capacity - others) * (need / total) for model, need in proportional.items()
        }
        if all(slots[model] >= quotas[model] for model in slots):
            return granted | slots
        proportional = {
            model: proportional[model] for model in slots if slots[model] >= quotas[model]
        }
    return granted


def _fractions(granted: dict[str, float]) -> dict[str, float]:
    total = sum(granted.values())
    return {model: slots / total for model, slots in granted.items()}


class ServiceShares:
    """Shares of the models of one contended service, changed only when they shift by enough."""

    def __init__(self) -> None:
        self.current = CapacityShares()

    def update(self, works: dict[str, ModelWork | None], capacity: float) -> CapacityShares:
        """Update the shares and return them.

        Parameters
        ==========

        works : recent work of each model of the service; None where it is unknown.
        capacity : number of slots of the service.
        """
        known = {model: work for model, work in sorted(works.items()) if work is not None}
        is_same_service = self.current.shares.keys() == works.keys()
        if not known or len(known) < len(works) or capacity <= 0.0:
            if not is_same_service:
                self.current = CapacityShares()
            return self.current
        new = urgent_shares(known, capacity)
        if not is_same_service or self._must_change(new.shares, known, capacity):
            self.current = new
        return self.current

    def _must_change(
        self, new_shares: dict[str, float], works: dict[str, ModelWork], capacity: float
    ) -> bool:
        """Whether the shares shift by enough; those of idle models only if a model lacks slots."""
        shares = self.current.shares
        needs = _needs(works)
        is_covered = all(needs[model] <= shares[model] * capacity for model in needs)
        if is_covered and not all(needs.values()):
            return False
        return any(
            abs(share - shares[model]) > REBALANCE_THRESHOLD for model, share in new_shares.items()
        )
