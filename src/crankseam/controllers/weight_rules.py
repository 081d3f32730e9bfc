"""Decides when a sampler is queried, loaded, switched, set aside or treated as restarted.

Inputs: what this coordinator knows of each sampler for the target version (`SamplerProgress`), the
watchers' reports on the sampler (up to `REPORT_LAG_S` old), and the policy's `load_attempts`. Times
are seconds of the monotonic clock.
Rule: a sampler in an unknown state is queried every `STATE_QUERY_INTERVAL_S`. A sampler without the
target version loads it. A failed load is repeated with backoff; after `load_attempts` failed loads
the sampler is set aside, that is, excluded from routing, until a load succeeds. All samplers are
switched at once, when each one that answers has loaded the version or is set aside.
Purpose: a sampler that loads weights serves no requests, so staging before the switch keeps the
switch short. A pool serves one version at a time (docs/design/07-weights.md compares this with
switching in waves).
Logged as: `set_aside`, `bring_back`, `switch failed`, `order refused: a newer coordinator acts`.
Tested by: tests/controllers/test_weight_rules.py, tests/controllers/test_weights.py.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from crankseam.backoff import Backoff

STATE_QUERY_INTERVAL_S = 2.0
"""How often a sampler in an unknown state is queried. Querying every sampler twice per half second
cost about 800 requests per second at 200 samplers."""
REPORT_LAG_S = 3.0
"""A report that arrives later than this after a switch must show the new version. Covers two polls
of the sampler (`timing.watch_interval`) and the heartbeat that spreads the report."""
LOAD_BACKOFF_BASE_S = 0.2
"""Upper bound of the first backoff after a failed load."""
LOAD_BACKOFF_CAP_S = 3.0
"""Upper bound of any backoff after a failed load."""


def _new_load_backoff() -> Backoff:
    return Backoff(LOAD_BACKOFF_BASE_S, LOAD_BACKOFF_CAP_S)


@dataclass
class SamplerProgress:
    """What this coordinator knows of one sampler with respect to the target version.

    Attributes
    ==========

    is_known : whether the state was read or follows from an order that the sampler executed.
    state_queried_at : time of the last query for the state.
    switched_at : time at which the sampler was last switched.
    set_aside : why the sampler is excluded from routing; empty if it is not.
    retry_at : time before which no load is tried again.
    """

    version: int
    is_known: bool = False
    is_loaded: bool = False
    is_serving: bool = False
    state_queried_at: float = float("-inf")
    switched_at: float = float("-inf")
    failed_loads: int = 0
    set_aside: str = ""
    backoff: Backoff = field(default_factory=_new_load_backoff)
    retry_at: float = 0.0

    def reset_state(self) -> None:
        """Discard the known state, so that the sampler is queried again."""
        self.is_known = False
        self.is_loaded = False
        self.is_serving = False

    def is_state_query_due(self, now: float) -> bool:
        """Whether to query the sampler for its state now."""
        return not self.is_known and now - self.state_queried_at >= STATE_QUERY_INTERVAL_S

    def is_load_due(self, now: float) -> bool:
        """Whether to order the sampler to load the version now."""
        return self.is_known and not self.is_loaded and self.retry_at <= now

    def record_failed_load(self, now: float) -> None:
        """Count a failed load and delay the next attempt."""
        self.failed_loads += 1
        self.retry_at = now + self.backoff.next_delay()

    def is_set_aside_due(self, load_attempts: int) -> bool:
        """Whether to exclude the sampler from routing because of its failed loads."""
        return self.failed_loads >= load_attempts and not self.set_aside

    def is_contradicted(self, reported_version: int, report_age: float, now: float) -> bool:
        """Whether a report shows another version than the one that the sampler was switched to.

        The sampler has then restarted, or another coordinator has switched it.

        Parameters
        ==========

        report_age : seconds since the report arrived.
        """
        since_switch = now - self.switched_at
        return reported_version != self.version and report_age < since_switch - REPORT_LAG_S


def samplers_to_switch(progress: Mapping[str, SamplerProgress]) -> list[str]:
    """Return the samplers to switch now; none while one that answers still has to load."""
    not_serving = {
        name: sampler
        for name, sampler in progress.items()
        if sampler.is_known and not sampler.is_serving
    }
    if any(not sampler.is_loaded and not sampler.set_aside for sampler in not_serving.values()):
        return []
    return [name for name, sampler in not_serving.items() if sampler.is_loaded]
