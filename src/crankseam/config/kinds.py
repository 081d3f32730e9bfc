"""The kinds of declarative documents, each a strict pydantic model.

The field names and defaults are those of the files that operators write. They also determine the
stored bytes of the documents and the output of `crankseam schema`.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)$")
_UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


def parse_duration(value: Any) -> float:
    """Convert `250ms`, `10s`, `5m` or `1h` to seconds.

    A float is returned as it is, since stored documents hold durations in seconds.
    """
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
    """If True, it receives no new requests and finishes those that are running."""


class Service(_Strict):
    """An app that callers reach through `/services/{name}/`."""

    kind: Literal["Service"]
    name: Name
    home_region: Name
    """The region whose nodes store the request records of the service."""
    back_ends: list[BackEnd] = Field(min_length=1)
    repeatable_methods: list[Literal["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST"]] = [
        "GET",
        "HEAD",
        "OPTIONS",
    ]
    """Methods whose requests may run more than once.

    A request with any other method is claimed before it is forwarded.
    """
    deadline: Duration = 10.0
    """Time limit of a request for which the caller sets no deadline."""
    crash_limit: int = Field(default=2, ge=1)
    """Back ends that may terminate while running one request before the request is held back.

    After a waiting time, the request is retried on one back end at a time.
    """


class SamplerPool(_Strict):
    """The samplers that serve one model."""

    kind: Literal["SamplerPool"]
    name: Name
    home_region: Name
    samplers: list[BackEnd] = Field(min_length=1)
    max_running_per_sampler: int = Field(default=64, ge=1)
    """Maximum number of requests that crankseam runs concurrently on one sampler."""
    crash_limit: int = Field(default=3, ge=1)
    """Accepted for older files, and without effect: samples are owed, so none is held back."""
    routing: Literal["least_load", "round_robin"] = "least_load"
    """How a sampler is chosen; `round_robin` serves as a baseline for comparison."""


class WeightPolicy(_Strict):
    """How new weights reach the samplers of a pool."""

    kind: Literal["WeightPolicy"]
    name: Name
    pool: Name
    store: Address
    """host:port of the weight store."""
    pinned_version: int | None = None
    """The version to serve; None selects the newest published version."""
    load_attempts: int = Field(default=3, ge=1)
    """Failed loads after which a sampler is excluded from routing until a load succeeds."""
    staging_concurrency: int = Field(default=4, ge=1)
    """Maximum number of samplers that load from the store concurrently."""


class Limit(_Strict):
    """How much of a service or pool may be in use at once, over all nodes together."""

    kind: Literal["Limit"]
    name: Name
    target: Name
    """Name of the Service or SamplerPool to which the limit applies."""
    max_in_flight: int = Field(ge=1)


class Trainer(_Strict):
    """A trainer and what it agreed on."""

    kind: Literal["Trainer"]
    name: Name
    pool: Name
    staleness_bound: int = Field(ge=0)
    """Maximum number of versions by which a sample's oldest token may lag behind the trainer."""
    idle_weight: float = Field(default=0.5, ge=0.0, le=1.0)
    """Trade-off: 1 gives priority to low trainer idle time, 0 to low staleness.

    Samples of a later step are started once at most this fraction of the previous step's samples
    is missing, but never before the staleness bound allows it. See
    docs/operators/idle-and-staleness.md.
    """
    sample_order: Literal["longest_first", "as_given"] = "longest_first"
    """Order in which the samples of a step are started; lengths are estimated per prompt group."""


Document = Service | SamplerPool | WeightPolicy | Limit | Trainer
KINDS: dict[str, type[Document]] = {
    "Service": Service,
    "SamplerPool": SamplerPool,
    "WeightPolicy": WeightPolicy,
    "Limit": Limit,
    "Trainer": Trainer,
}


def document_key(document: Document) -> str:
    """Return `Kind/name`, which is unique within a configuration."""
    return f"{document.kind}/{document.name}"
