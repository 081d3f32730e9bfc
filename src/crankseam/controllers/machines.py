"""Polls the platform's machine list and takes back ends on leaving machines out of routing.

Explanation
===========

Sets the hosts that the router treats as leaving. The machine list lags and may be unavailable, so
an empty answer changes nothing.
"""

from __future__ import annotations

import asyncio

from crankseam.cluster.agent import ClusterAgent
from crankseam.routing import Router

LIVE = "live"


class MachineListController:
    """Polls the machine list; as the list lags, it only excludes back ends and never admits one."""

    def __init__(self, agent: ClusterAgent, router: Router) -> None:
        self._agent = agent
        self._router = router

    async def run(self) -> None:
        """Poll until cancelled."""
        machine_list = self._agent.machine_list
        if machine_list is None:
            return
        while True:
            machines = await machine_list.fetch_or_empty()
            if machines:
                gone = {m.peer_address.rpartition(":")[0] for m in machines if m.state != LIVE}
                live = {m.peer_address.rpartition(":")[0] for m in machines if m.state == LIVE}
                self._router.leaving_machines = gone - live
            await asyncio.sleep(self._agent.settings.timing.heartbeat_interval)
