"""Failures of jobs and of their items.

Those of items and scores come from the clients that send them; the others from the store's answers.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.errors import CrankseamError
from crankseam.jobs.model import ItemResult


class ItemImpossible(CrankseamError):
    """The sampler says that this item can never be done."""


class ItemFailed(CrankseamError):
    """The sampler ran the item and failed."""


class ScoringFailed(CrankseamError):
    """A back end ran the scoring request and failed, and said so by a whole answer."""


@dataclass
class ResultsConflict(CrankseamError):
    """Another process listed these results first, at the same positions."""

    winner: list[ItemResult]


class JobUnknown(CrankseamError):
    """No job of this id was ever accepted, or it was dropped after its time."""


class AcceptanceUnknown(CrankseamError):
    """The job may have been accepted; the store did not say."""


class JobIdTaken(CrankseamError):
    """A job of another tenant was accepted under this id."""
