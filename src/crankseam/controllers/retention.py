"""Bounds memory use: drops records older than the retention period and stale digest entries.

Explanation
===========

The replica store drops the records, and the digest drops long-dead members and unused or stale
reports. Each sweep also rewrites the file of known peers.
"""

from __future__ import annotations

import asyncio

from crankseam import clocks
from crankseam.cluster.agent import ClusterAgent
from crankseam.controllers.back_end_watch import all_targets

SWEEP_INTERVAL_S = 5.0
"""Time between two sweeps."""
REPORT_RETENTION_S = 30.0
"""Reports on back ends are dropped after this time: twice the longest time between two publications
of an unchanged report (`back_end_watch.SECOND_WATCHER_REFRESH_S`)."""


class RetentionController:
    """Drops expired records and stale digest entries at a fixed interval."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Drop expired records and stale digest entries, and save the addresses of peers."""
        retention_ms = round(self._agent.settings.timing.record_retention * 1000)
        self._agent.replicas.drop_before(clocks.wall_ms() - retention_ms)
        target_names = {target.name for target in all_targets(self._agent.lease.snapshot)}
        self._agent.digest.purge(target_names, REPORT_RETENTION_S)
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        self._agent.known_peers.save([member.peer_address for member in members])
