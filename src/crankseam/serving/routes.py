"""Routes: which service a request goes to, and what may be done with it.

Owns the types of an accepted configuration, and the choice of a service by weight
(`TrafficSplitter`). Relies on the adapter to decode what the operator wrote. All times are seconds.
"""

from __future__ import annotations

import enum
import math
import random
from dataclasses import dataclass, field

from crankseam.scaling.model import ScalingBounds
from crankseam.serving.engine_memory import EngineMemory
from crankseam.serving.tenants import TenantDirectory


class RequestKind(enum.Enum):
    """What the operator lets the system do with a route's requests."""

    REPEATABLE = "repeatable"
    """May run more than once."""
    ONCE = "once"
    """May run at most once for each attempt of the caller."""
    STREAM = "stream"
    """Answered by events; at most once unless it may be resumed."""
    JOB = "job"
    """Many generations handed in together and run later."""


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of a configuration."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 1
    priority: int = 5
    resumable: bool = False
    single_version: bool = False
    """All events of one result must be made by one weight version."""
    longest_queue_s: float = 60.0
    """How long after its job was submitted an item may be given up."""
    due_s: float = math.inf
    """How long after its job was submitted results are due."""
    is_public: bool = False
    """Whether callers need no API key, where others do."""

    def leads_to(self, service: str) -> bool:
        """Whether a part of the route's requests goes to a service."""
        return any(share.service == service for share in self.shares)


@dataclass(frozen=True, slots=True)
class ServiceDefinition:
    """What the operator says of a service. `slots` is 0 where it is not told.

    `max_connections` and `slots` are read by nothing: each back end tells its own slots.
    """

    name: str
    max_connections: int = 0
    slots: int = 0
    memory: EngineMemory | None = None
    """None where it is not told."""
    scaling: ScalingBounds | None = None
    """None where samplers are not ordered by the system."""
    cold_per_s: float | None = None
    """Requests a second that a cold back end bears: 0 for any number, None where it is not told."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send; times are seconds.

    Only `body_bytes` is read: the listener's other bounds are constants of the adapter.
    """

    header_bytes: int = 16384
    body_bytes: int = 32 * 1024 * 1024
    header_timeout: float = 5.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One accepted configuration, whole."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceDefinition] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    tenants: TenantDirectory | None = None
    """None where callers need no API key."""

    def match(self, host: str, path: str) -> Route | None:
        """The host's route with the longest prefix that begins the path."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best


ROUND_PICKS = 100
"""Places of a round at which a process may begin; weights are hardly finer than hundredths."""


class TrafficSplitter:
    """Assigns a route's requests to its services by weight: smooth weighted round robin.

    The counts are kept by route and weights, so a configuration that changes neither goes on.
    Each process begins at a random place of the round: of many processes that get few requests
    each, not all send their first to the same service.

    Parameters
    ==========

    generator : draws the places; for tests.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self._generator = generator or random.Random()
        self._credits: dict[tuple[str, tuple[Share, ...]], dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """The service of the next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.get((route.name, route.shares))
        if credits is None:
            credits = self._credits[route.name, route.shares] = {}
            for _ in range(self._generator.randrange(ROUND_PICKS)):
                self._advance(route, credits)
        return self._advance(route, credits)

    @staticmethod
    def _advance(route: Route, credits: dict[str, float]) -> str:
        total = 0.0
        for share in route.shares:
            credits[share.service] = credits.get(share.service, 0.0) + share.weight
            total += share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service]).service
        credits[chosen] -= total
        return chosen
