"""Decides which share of a service's samplers each of its models gets.

Inputs: the total seconds for which the open items of each model occupy sampler slots, from the keys
of open jobs.
Rule: shares follow this work, but each model gets at least half of an equal share. Shares stay as
they are until one of them deviates from its new value by more than a threshold. All shares are
equal until the work of every model of the service is known.
Purpose: with equal shares, a model whose items take more work falls behind and its trainer loses
steps, while another model has samplers to spare.
Logged as: `samplers_shared`.
Tested by: tests/orders/test_shares.py.
"""

from __future__ import annotations

MIN_EQUAL_SHARE_FRACTION = 0.5
"""Fraction of an equal share that a model gets even with little work, since all of its items arrive
at the same time."""
REBALANCE_THRESHOLD = 0.06
"""Deviation of a share, as a fraction of the service's samplers, above which all shares change.
Smaller deviations are ignored because each sampler that is assigned another model costs a load."""


def shares_by_work(work_s: dict[str, float]) -> dict[str, float]:
    """Return the fraction of the samplers that each model gets; the fractions add up to 1.

    Parameters
    ==========

    work_s : seconds for which the open items of each model occupy sampler slots; all positive.

    Examples
    ========

    >>> shares_by_work({"a": 60.0, "b": 20.0})
    {'a': 0.75, 'b': 0.25}
    >>> shares_by_work({"a": 90.0, "b": 1.0})
    {'a': 0.75, 'b': 0.25}
    """
    min_share = MIN_EQUAL_SHARE_FRACTION / len(work_s)
    total_s = sum(work_s.values())
    with_minimum = {model: max(min_share, seconds / total_s) for model, seconds in work_s.items()}
    excess = sum(share - min_share for share in with_minimum.values())
    if excess <= 0.0:
        return {model: 1.0 / len(work_s) for model in work_s}
    distributable = 1.0 - min_share * len(work_s)
    return {
        model: min_share + (share - min_share) * distributable / excess
        for model, share in with_minimum.items()
    }


class ModelShares:
    """Shares of the models of one service, changed only when the work shifts by enough."""

    def __init__(self) -> None:
        self.shares: dict[str, float] = {}
        """Fraction of the samplers by model; empty until the work of every model is known."""

    def update(self, models: set[str], work_s: dict[str, float]) -> dict[str, float]:
        """Update the shares and return them; an empty result stands for equal shares.

        If the work of a model is unknown, the shares that were computed for the same models still
        apply.

        Parameters
        ==========

        models : all models of the service.
        work_s : seconds of work by model, for the models whose work is known.
        """
        if not models or not all(work_s.get(model) for model in models):
            return self.shares if self.shares.keys() == models else {}
        new_shares = shares_by_work({model: work_s[model] for model in sorted(models)})
        if self.shares.keys() != models or self._exceeds_threshold(new_shares):
            self.shares = new_shares
        return self.shares

    def _exceeds_threshold(self, new_shares: dict[str, float]) -> bool:
        return any(
            abs(share - self.shares[model]) > REBALANCE_THRESHOLD
            for model, share in new_shares.items()
        )
