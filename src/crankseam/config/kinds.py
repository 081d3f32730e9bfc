"""The kinds of declarative documents, each a strict model with one concern.

Owns the names and defaults that operators write in files, and with them the stored bytes of the
documents and `crankseam schema`.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)$")
_UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


def parse_duration(value: Any) -> float:
    """Turn `250ms`, `10s`, `5m` or `1h` into seconds; a stored number of seconds passes."""
    if isinstance(value, float):
        return value
    match = _DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("a duration with its unit, such as 250ms, 10s, 5m or 1h")
    return float(match.group(1)) * _UNIT_S[match.group(2)]


Duration = Annotated[float, BeforeValidator(parse_duration, json_schema_input_type=str)]
Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[0-9a-zA-Z.:\[\]-]+:\d{1,5}$")]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class BackEnd(_Strict):
    """One app server or sampler."""

    name: Name
    address: Address
    """host:port of its HTTP interface."""
    zone: Name
    leaving: bool = False
    """True: it receives no new work and finishes what it has."""


class Service(_Strict):
    """An app that callers reach through `/services/{name}/`."""

    kind: Literal["Service"]
    name: Name
    home_region: Name
    """The region whose nodes keep the service's request records."""
    back_ends: list[BackEnd] = Field(min_length=1)
    repeatable_methods: list[Literal["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST"]] = [
        "GET",
        "HEAD",
        "OPTIONS",
    ]
    """Methods that may run more than once; all others are claimed before they are forwarded."""
    deadline: Duration = 10.0
    """Longest time a request may take when the caller names none."""
    crash_limit: int = Field(default=2, ge=1)
    """Back ends that may end under one request before it is held back and tried one at a time."""


class SamplerPool(_Strict):
    """The samplers that serve one model."""

    kind: Literal["SamplerPool"]
    name: Name
    home_region: Name
    samplers: list[BackEnd] = Field(min_length=1)
    max_running_per_sampler: int = Field(default=64, ge=1)
    """Requests that crankseam keeps at one sampler at a time."""
    crash_limit: int = Field(default=3, ge=1)
    """Samplers that may end under one sample, without a token in between, before it is held."""
    routing: Literal["least_load", "round_robin"] = "least_load"
    """How a sampler is chosen; `round_robin` is there to compare with."""


class WeightPolicy(_Strict):
    """How new weights reach the samplers of a pool."""

    kind: Literal["WeightPolicy"]
    name: Name
    pool: Name
    store: Address
    """host:port of the weight store."""
    pinned_version: int | None = None
    """Serve this version; None follows the newest one published."""
    load_attempts: int = Field(default=3, ge=1)
    """Failed loads after which a sampler is set aside."""
    staging_concurrency: int = Field(default=4, ge=1)
    """Samplers that load from the store at a time."""


class Limit(_Strict):
    """How much of a service or pool may be in use at once, over all nodes together."""

    kind: Literal["Limit"]
    name: Name
    target: Name
    """Name of the Service or SamplerPool it bounds."""
    max_in_flight: int = Field(ge=1)


class Trainer(_Strict):
    """A trainer and what it agreed on."""

    kind: Literal["Trainer"]
    name: Name
    pool: Name
    staleness_bound: int = Field(ge=0)
    """How many versions behind the trainer's own the oldest token of a sample may be."""
    idle_weight: float = Field(default=0.5, ge=0.0, le=1.0)
    """1 puts trainer idle time first, 0 staleness; see docs/operators/idle-and-staleness.md.

    Samples of a later step are started once no more than this share of the step before is
    missing, and never before the staleness bound allows it.
    """
    sample_order: Literal["longest_first", "as_given"] = "longest_first"
    """Order within a step; lengths are estimated by prompt group."""


Document = Service | SamplerPool | WeightPolicy | Limit | Trainer
KINDS: dict[str, type[Document]] = {
    "Service": Service,
    "SamplerPool": SamplerPool,
    "WeightPolicy": WeightPolicy,
    "Limit": Limit,
    "Trainer": Trainer,
}


def document_key(document: Document) -> str:
    """`Kind/name`, unique in a configuration."""
    return f"{document.kind}/{document.name}"
