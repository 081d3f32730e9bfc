"""Errors of jobs and of their items.

The clients of samplers and scoring back ends raise the errors of items and scores; the other errors
derive from answers of the coordination store.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.errors import CrankseamError
from crankseam.jobs.model import ItemResult


class ItemImpossible(CrankseamError):
    """The sampler reported that the item can never be completed; it is not retried."""


class ItemFailed(CrankseamError):
    """The sampler ran the item and reported a failure."""


class ScoringFailed(CrankseamError):
    """A back end ran the scoring request and reported its failure in a complete answer."""


@dataclass
class ResultsConflict(CrankseamError):
    """Another process has already listed results at the same positions.

    Attributes
    ==========

    winner : the results that are listed there.
    """

    winner: list[ItemResult]


class JobUnknown(CrankseamError):
    """No job of this id was accepted, or its retention time is over and it was removed."""


class AcceptanceUnknown(CrankseamError):
    """The job may have been accepted; the outcome is unknown."""


class EndUnknown(CrankseamError):
    """The end of the job may have been recorded, or may still be; the outcome is unknown."""


class JobIdTaken(CrankseamError):
    """A job of another tenant was already accepted under this id."""
