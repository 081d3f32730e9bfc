"""When is a sampler asked for its weights, loaded, switched, set aside or taken for restarted?

Inputs: what this coordinator knows of each sampler for the version under way (`SamplerProgress`),
the watchers' reports of it (up to `REPORT_LAG_S` old), the policy's `load_attempts`; times in
seconds of the steady clock.
Rule: a sampler of unknown state is asked every `LOOK_S`; one that lacks the version loads it, after
a failed load with back-off and, after `load_attempts` failed ones, set aside until a load succeeds.
All samplers are switched at once, when each one that answers has the version or is set aside.
Protects: staging ahead keeps the switch short (a sampler that loads stands still), and a pool
serves one version at a time (docs/design/07-weights.md weighs waves).
Shown by: `set_aside`, `bring_back`, `switch failed`, `order refused: a newer coordinator acts`.
Held by: tests/controllers/test_weight_rules.py, tests/controllers/test_weights.py.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from crankseam.backoff import Backoff

LOOK_S = 2.0
"""A sampler whose state is unknown is asked for it this often. Asking all samplers twice each half
second cost some 800 requests a second at 200 samplers."""
REPORT_LAG_S = 3.0
"""Reports lag behind; one that came later than this after a switch must show it. Covers two
readings of a load (`timing.watch_interval`) and a heartbeat to spread it. Origin not recorded."""
LOAD_BACKOFF_BASE_S = 0.2
"""Upper bound of the first pause after a failed load. Origin not recorded."""
LOAD_BACKOFF_CAP_S = 3.0
"""Upper bound of any pause after a failed load. Origin not recorded."""


def _new_load_backoff() -> Backoff:
    return Backoff(LOAD_BACKOFF_BASE_S, LOAD_BACKOFF_CAP_S)


@dataclass
class SamplerProgress:
    """What this coordinator knows of one sampler for the version under way.

    Attributes
    ==========

    is_known : whether its state was read, or follows from an order that it carried out.
    set_aside : why it gets no samples; empty while it may.
    retry_at : steady clock before which no load is tried again.
    """

    version: int
    is_known: bool = False
    is_loaded: bool = False
    is_serving: bool = False
    looked_at: float = float("-inf")
    switched_at: float = float("-inf")
    failed_loads: int = 0
    set_aside: str = ""
    backoff: Backoff = field(default_factory=_new_load_backoff)
    retry_at: float = 0.0

    def forget_state(self) -> None:
        """Have the sampler looked at again."""
        self.is_known = False
        self.is_loaded = False
        self.is_serving = False

    def is_look_due(self, now: float) -> bool:
        """Whether to ask the sampler for its state."""
        return not self.is_known and now - self.looked_at >= LOOK_S

    def is_load_due(self, now: float) -> bool:
        """Whether to have the sampler load the version."""
        return self.is_known and not self.is_loaded and self.retry_at <= now

    def note_failed_load(self, now: float) -> None:
        """Count a failed load and put the next one off."""
        self.failed_loads += 1
        self.retry_at = now + self.backoff.next_delay()

    def is_set_aside_due(self, load_attempts: int) -> bool:
        """Whether it failed so often that it is to get no samples."""
        return self.failed_loads >= load_attempts and not self.set_aside

    def is_contradicted(self, reported_version: int, report_age: float, now: float) -> bool:
        """Whether a report shows another version than the sampler was switched to: it was started
        anew, or another coordinator ordered it.

        Parameters
        ==========

        report_age : seconds since the report came.
        """
        since_switch = now - self.switched_at
        return reported_version != self.version and report_age < since_switch - REPORT_LAG_S


def samplers_to_switch(progress: Mapping[str, SamplerProgress]) -> list[str]:
    """Names of the samplers to switch now; empty while one that answers has still to load."""
    behind = {name: own for name, own in progress.items() if own.is_known and not own.is_serving}
    if any(not own.is_loaded and not own.set_aside for own in behind.values()):
        return []
    return [name for name, own in behind.items() if own.is_loaded]
