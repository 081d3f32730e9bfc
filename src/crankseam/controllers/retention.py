"""Bounds memory: drops records that are older than the retention, and stale digest entries."""

from __future__ import annotations

import asyncio

from crankseam import clocks
from crankseam.cluster.agent import ClusterAgent

SWEEP_SECONDS = 5.0
REPORT_RETENTION_SECONDS = 30.0


class RetentionController:
    """Sweeps at a fixed interval."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Drop what is too old."""
        retention = round(self._agent.settings.timing.record_retention * 1000)
        self._agent.replicas.forget_before(clocks.wall_ms() - retention)
        self._agent.digest.purge(self._known_targets(), REPORT_RETENTION_SECONDS)
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        self._agent.known_peers.save([member.peer_address for member in members])

    def _known_targets(self) -> set[str]:
        snapshot = self._agent.lease.snapshot
        targets = set()
        for service in snapshot.services.values():
            targets |= {f"{service.name}/{back_end.name}" for back_end in service.back_ends}
        for pool in snapshot.pools.values():
            targets |= {f"{pool.name}/{sampler.name}" for sampler in pool.samplers}
        return targets
