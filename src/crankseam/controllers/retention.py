"""Bounds memory: drops records that are older than the retention, and stale digest entries.

Owns the interval of the sweep. Relies on the replica store and the digest to drop what it names,
and on the file of known peers, which it renews on the way.
"""

from __future__ import annotations

import asyncio

from crankseam import clocks
from crankseam.cluster.agent import ClusterAgent
from crankseam.controllers.back_end_watch import all_targets

SWEEP_S = 5.0
"""Between two sweeps. Origin not recorded."""
REPORT_RETENTION_S = 30.0
"""Reports of back ends are dropped after this: twice the longest time between two sendings of an
unchanged one (`back_end_watch.SECOND_RENEW_S`)."""


class RetentionController:
    """Sweeps at a fixed interval."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.sweep()

    def sweep(self) -> None:
        """Drop what is too old."""
        retention_ms = round(self._agent.settings.timing.record_retention * 1000)
        self._agent.replicas.forget_before(clocks.wall_ms() - retention_ms)
        known = {target.name for target in all_targets(self._agent.lease.snapshot)}
        self._agent.digest.purge(known, REPORT_RETENTION_S)
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        self._agent.known_peers.save([member.peer_address for member in members])
