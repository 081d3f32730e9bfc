"""What part of a service's samplers does each of its models get?

Inputs: seconds for which the models' open items hold slots of samplers, from the keys of open jobs.
Rule: by work, but half of an equal share at least. Shares stand until one is off by a step; while
the work of a model is not known, all are equal.
Protects: a model whose items are more work falls behind with an equal share, and loses the steps of
its trainer, while another one has samplers to spare.
Shown by: `samplers_shared`. Held by: tests/orders/test_shares.py.
"""

from __future__ import annotations

LEAST_OF_EQUAL = 0.5
"""Of an equal share, a model with little work still gets so much: its items come all at once. Set
with the sharing by work itself (docs/DECISIONS.md); origin of the figure not recorded."""
SHARE_STEP = 0.06
"""Part of the samplers by which a share must be off before all are changed: each sampler that then
carries another model costs a load. Set with the sharing by work itself; origin of the
figure not recorded."""


def shares_by_work(work_s: dict[str, float]) -> dict[str, float]:
    """The part of the samplers that each model needs, in sum 1.

    Parameters
    ==========

    work_s : seconds for which the models' open items hold slots of samplers, by model; none is 0.

    Examples
    ========

    >>> shares_by_work({"a": 60.0, "b": 20.0})
    {'a': 0.75, 'b': 0.25}
    >>> shares_by_work({"a": 90.0, "b": 1.0})
    {'a': 0.75, 'b': 0.25}
    """
    least = LEAST_OF_EQUAL / len(work_s)
    total_s = sum(work_s.values())
    raised = {model: max(least, seconds / total_s) for model, seconds in work_s.items()}
    above = sum(share - least for share in raised.values())
    if above <= 0.0:
        return {model: 1.0 / len(work_s) for model in work_s}
    left = 1.0 - least * len(work_s)
    return {model: least + (share - least) * left / above for model, share in raised.items()}


class ModelShares:
    """The shares of one service's models, which stand until the work has become another."""

    def __init__(self) -> None:
        self.shares: dict[str, float] = {}
        """The part of the samplers by model; empty until it is known."""

    def update(self, models: set[str], work_s: dict[str, float]) -> dict[str, float]:
        """The shares now; empty while the work of a model is not known.

        Parameters
        ==========

        models : all models of the service.
        work_s : seconds of work by model, of those where it is known.
        """
        if not models or not all(work_s.get(model) for model in models):
            return self.shares if self.shares.keys() == models else {}
        wanted = shares_by_work({model: work_s[model] for model in sorted(models)})
        if self.shares.keys() != models or self._is_off(wanted):
            self.shares = wanted
        return self.shares

    def _is_off(self, wanted: dict[str, float]) -> bool:
        return any(abs(share - self.shares[model]) > SHARE_STEP for model, share in wanted.items())
