"""Follows the platform's machine list: leaving machines leave routing.

Owns which hosts the router is told are leaving. Relies on the list, which lags and may be down: an
empty answer changes nothing.
"""

from __future__ import annotations

import asyncio

from crankseam.cluster.agent import ClusterAgent
from crankseam.routing import Router

LIVE = "live"


class MachineListController:
    """Polls the list; it lags, so it only ever adds a reason against a back end."""

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
