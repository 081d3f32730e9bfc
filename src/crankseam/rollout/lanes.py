"""Which samplers a sample may run on: long samples get samplers with small batches.

A sampler's decode step costs more the more sequences run in it, so the longest sample of a step,
which the trainer waits for, ends earlier where few others run. A part of a pool's samplers is kept
at a small batch for samples that are long: expected so by their prompt group, or proven so by what
they have generated already, in which case they are moved there with their tokens.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.config.kinds import SamplerPool
from crankseam.records.slots import rank

LONG_FACTOR = 3.0
"""A sample is long from this many times the mean length of all samples on."""

SHORT_SHARE_OF_LANE = 0.5
"""Share of a lane's places that other samples may take while long ones leave them free."""


@dataclass(frozen=True)
class LaneRule:
    """Places for one sample, by sampler."""

    lane: frozenset[str]
    lane_batch: int
    full_batch: int
    is_long: bool

    def places(self, sampler: str) -> int:
        """How many of this node's requests may run at the sampler for this sample to start."""
        if sampler not in self.lane:
            return self.full_batch
        if self.is_long:
            return self.lane_batch
        return int(self.lane_batch * SHORT_SHARE_OF_LANE)

    def prefers(self, sampler: str) -> bool:
        """Whether this kind of sample should go to this sampler rather than to others."""
        return (sampler in self.lane) == self.is_long


def lane_of(pool: SamplerPool) -> frozenset[str]:
    """The samplers of the pool's lane for long samples; empty if it has none."""
    if pool.long_sample_samplers == 0:
        return frozenset()
    order = sorted(pool.samplers, key=lambda item: rank(f"lane/{pool.name}", item.name))
    living = [sampler.name for sampler in order if not sampler.leaving]
    return frozenset(living[: pool.long_sample_samplers])


def lane_rule(pool: SamplerPool, is_long: bool) -> LaneRule:
    """The rule for one sample."""
    return LaneRule(lane_of(pool), pool.long_sample_batch, pool.max_running_per_sampler, is_long)
