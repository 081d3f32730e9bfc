"""Decides with which weight a tenant's items of one model count in this process.

Inputs: the tenant's open items of the model and of all other models, at all processes, from the
keys of open jobs; as old as this process's copy of them, the last one while the store is away.
Rule: a tenant's share is divided among its models in proportion to its open items, so the weight is
the model's part of them, at least MIN_SHARE. At equal virtual time, tenants go in ascending order
of their open items of other models. A tenant without known open items has the full weight.
Purpose: the jobs of one model run at one process, and no process orders the items of another. A
tenant that has work at several processes would otherwise receive a full share at each.
Logged as: `tenant_waited`, with the shares of the work that was granted.
Tested by: tests/fairness/test_tenant_shares.py.
"""

from __future__ import annotations

MIN_SHARE = 0.05
"""A tenant's weight in a model is at least this: open items tell what a tenant asked for, not what
it uses now."""
MAX_HANDICAP_S = 1e-6
"""Bound of what is added to a start for open items of other models. Far below any item's seconds,
so it decides between equal starts only."""
HANDICAP_SCALE_ITEMS = 64
"""Open items of other models for which half of the bound is added: about one job."""


def weight_in_model(items: int, items_elsewhere: int) -> float:
    """Return the weight of a tenant's items of one model.

    Parameters
    ==========

    items : open items of this model.
    items_elsewhere : open items of all other models.

    Examples
    ========

    >>> weight_in_model(30, 0), weight_in_model(30, 90), weight_in_model(0, 0)
    (1.0, 0.25, 1.0)
    """
    if items_elsewhere <= 0:
        return 1.0
    return max(MIN_SHARE, items / (items + items_elsewhere))


def handicap_s(items_elsewhere: int) -> float:
    """Return what is added to a tenant's start so that it goes behind at equal virtual time."""
    if items_elsewhere <= 0:
        return 0.0
    return MAX_HANDICAP_S * items_elsewhere / (items_elsewhere + HANDICAP_SCALE_ITEMS)
