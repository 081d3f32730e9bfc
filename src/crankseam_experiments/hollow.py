"""Hollow nodes: the real cluster agent and controllers, many to a process.

The data path is replaced by a model: load reports of back ends come from a random walk instead of
HTTP, and there is no caller interface. Membership, digests, replicated records, placement and the
configuration lease are the real code over real loopback sockets.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import resource
import sys
import time
from dataclasses import dataclass
from typing import Any

import aiohttp
import psutil
import uvloop
from aiohttp import web

from crankseam.clients.key_value import KeyValueClient
from crankseam.clients.load_report import LoadReport
from crankseam.cluster.agent import ClusterAgent
from crankseam.cluster.digest import MemberStatus
from crankseam.controllers.back_end_watch import BackEndWatchController, Target
from crankseam.controllers.configuration_follower import ConfigurationFollower
from crankseam.controllers.founding import FoundingController
from crankseam.controllers.replica_placement import ReplicaPlacementController
from crankseam.controllers.retention import RetentionController
from crankseam.errors import PeerTimeout
from crankseam.logs import configure_logging
from crankseam.node import Controller
from crankseam.peers.messages import AnyMessage, Message
from crankseam.peers.transport import PeerTransport
from crankseam.settings import NodeSettings

WATCH_MEMBERS_SECONDS = 0.1
LOAD_CHANGE_SECONDS = 2.0
"""Mean time between two changes of a modelled back end's load."""


@dataclass(frozen=True)
class HollowPlan:
    """What one process runs."""

    nodes: list[dict[str, Any]]
    control_port: int
    seed: int


def region_of(address: str) -> str:
    """The second number of a hollow node's address tells its region: 127.REGION.ZONE.NODE."""
    return address.split(".")[1]


class CuttableTransport(PeerTransport):
    """Calls to cut regions time out, as over a lost network."""

    def __init__(self, node: str, local_host: str) -> None:
        super().__init__(node, 0, (local_host, 0))
        self._region = region_of(local_host)
        self.cut_regions: set[str] = set()

    async def call(self, address: str, message: Message, timeout: float) -> AnyMessage:
        """Like the real one, unless the link between the regions is cut."""
        other = region_of(address)
        if other != self._region and {other, self._region} & self.cut_regions:
            await asyncio.sleep(timeout)
            raise PeerTimeout(address)
        return await super().call(address, message, timeout)


class ModelledWatch(BackEndWatchController):
    """Load reports from a random walk."""

    async def _watch(self, target: Target) -> None:
        generator = random.Random(target.name)
        running = 32
        while True:
            running = max(0, min(64, running + generator.randint(-8, 8)))
            self._report(target, LoadReport(running, 0, 1, leaving=False))
            await asyncio.sleep(generator.uniform(0.5, 1.5) * LOAD_CHANGE_SECONDS)


class HollowNode:
    """One node without a data path."""

    def __init__(self, settings: NodeSettings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self._session = session
        self.agent: ClusterAgent
        self.transport: CuttableTransport
        self.running = False
        self.events: list[tuple[float, str, str, int]] = []
        self._dead_seen: set[str] = set()

    async def start(self) -> None:
        """Start as the real node does, without callers."""
        self.key_value = KeyValueClient(self.settings.key_value)
        self.agent = ClusterAgent(self.settings, self.key_value)
        self.transport = CuttableTransport(self.settings.name, self.settings.listen_host)
        await self.agent.start(self.transport, caller_address="")
        self.placement = ReplicaPlacementController(self.agent)
        controllers: dict[str, Controller] = {
            "founding": FoundingController(self.agent),
            "placement": self.placement,
            "configuration": ConfigurationFollower(self.agent),
            "retention": RetentionController(self.agent),
            "back ends": ModelledWatch(self.agent, self._session),
        }
        for name, controller in controllers.items():
            self.agent.tasks.start(controller.run(), name)
        self.agent.lease.on_snapshot(lambda s: self._note("revision", s.revision))
        self.agent.tasks.start(self._watch_members(), "observer")
        self.running = True

    def _note(self, kind: str, value: int, subject: str = "") -> None:
        self.events.append((time.time(), kind, subject, value))

    async def _watch_members(self) -> None:
        """Write down when this node learns of a death or a return. Observation only."""
        while True:
            dead = {m.name for m in self.agent.digest.members() if m.status == MemberStatus.DEAD}
            for name in dead - self._dead_seen:
                self._note("dead", 1, name)
            for name in self._dead_seen - dead:
                self._note("alive", 1, name)
            self._dead_seen = dead
            await asyncio.sleep(WATCH_MEMBERS_SECONDS)

    async def kill(self) -> None:
        """End at once, as a crash would."""
        self.running = False
        await self.agent.close()
        await self.key_value.close()

    def describe(self) -> dict[str, Any]:
        """Counters for the experiment."""
        if not self.running:
            return {"name": self.settings.name, "running": False}
        agent = self.agent
        return {
            "name": self.settings.name,
            "region": self.settings.region,
            "zone": self.settings.zone,
            "running": True,
            "relay": agent.membership.order.is_relay(),
            "first_of_region": agent.membership.order.is_first_of_region(),
            "slots": len(agent.replicas.slots),
            "revision": agent.lease.snapshot.revision,
            "ready": agent.lease.is_held(),
            "alive": len(agent.digest.alive()),
            "bytes_out": self.transport.current_bytes_out(),
            "frames_out": self.transport.traffic.frames_out,
            "by_type": dict(self.transport.traffic.by_type),
            "bytes_by_type": dict(self.transport.traffic.bytes_by_type),
            "key_value_requests": self.key_value.requests_sent,
            "moves": self.placement.moves,
            "incarnation": agent.incarnation,
        }


class HollowProcess:
    """All hollow nodes of one process, and the experiment's control path."""

    def __init__(self, plan: HollowPlan) -> None:
        self._plan = plan
        self.nodes: dict[str, HollowNode] = {}

    async def run(self) -> None:
        """Serve the control path until the experiment ends."""
        self._session = aiohttp.ClientSession()
        self._idle_memory = psutil.Process().memory_info().rss
        for raw in self._plan.nodes:
            settings = NodeSettings.model_validate(raw)
            self.nodes[settings.name] = HollowNode(settings, self._session)
        app = web.Application()
        app.router.add_get("/state", self._state)
        app.router.add_get("/events", self._events)
        app.router.add_post("/start", self._start)
        app.router.add_post("/kill", self._kill)
        app.router.add_post("/cut", self._cut)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self._plan.control_port).start()
        parent = os.getppid()
        while os.getppid() == parent:
            await asyncio.sleep(1.0)  # ends with the experiment, also when that was killed

    async def _chosen(self, request: web.Request) -> list[HollowNode]:
        names = (await request.json())["names"]
        return [self.nodes[name] for name in names if name in self.nodes]

    async def _start(self, request: web.Request) -> web.Response:
        chosen = await self._chosen(request)
        await asyncio.gather(*(node.start() for node in chosen))
        return web.json_response({})

    async def _kill(self, request: web.Request) -> web.Response:
        chosen = await self._chosen(request)
        await asyncio.gather(*(node.kill() for node in chosen))
        return web.json_response({"at": time.time()})

    async def _cut(self, request: web.Request) -> web.Response:
        regions = set((await request.json())["regions"])
        for node in self.nodes.values():
            if node.running:
                node.transport.cut_regions = regions
        return web.json_response({})

    async def _state(self, _request: web.Request) -> web.Response:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return web.json_response(
            {
                "at": time.time(),
                "cpu_seconds": usage.ru_utime + usage.ru_stime,
                "memory": psutil.Process().memory_info().rss,
                "idle_memory": self._idle_memory,
                "nodes": [node.describe() for node in self.nodes.values()],
            }
        )

    async def _events(self, _request: web.Request) -> web.Response:
        events = [
            [at, name, kind, subject, value]
            for name, node in self.nodes.items()
            for at, kind, subject, value in node.events
        ]
        for node in self.nodes.values():
            node.events = []
        return web.json_response(events)


def main() -> int:
    """Run the plan given as JSON on standard input."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--log-level", default="warning")
    arguments = parser.parse_args()
    plan = HollowPlan(**json.loads(sys.stdin.read()))
    configure_logging(f"hollow-{plan.control_port}", arguments.log_level)
    uvloop.install()
    asyncio.run(HollowProcess(plan).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
