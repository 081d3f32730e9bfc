"""Runs real nodes and agents in one process over loopback, with shortened timing settings."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import web

from crankseam.clients.key_value import KeyValueClient
from crankseam.cluster.agent import ClusterAgent
from crankseam.config.changes import apply_plan, make_plan
from crankseam.config.kinds import BackEnd, Limit, Service
from crankseam.config.snapshot import Pointer
from crankseam.controllers.configuration_follower import ConfigurationFollower
from crankseam.controllers.founding import FoundingController
from crankseam.controllers.replica_placement import ReplicaPlacementController
from crankseam.node import Node
from crankseam.peers.transport import PeerTransport
from crankseam.settings import NodeSettings, TimingSettings
from crankseam_standins.account import Account
from crankseam_standins.app import AppStandin
from crankseam_standins.key_value import KeyValueStandin

FAST_TIMING = TimingSettings(
    heartbeat_interval="100ms",
    suspect_after="250ms",
    dead_after="500ms",
    configuration_term="600ms",
    clock_margin="20ms",
    peer_timeout="250ms",
    record_timeout="200ms",
    watch_interval="100ms",
    duty_term="1s",
    limit_term="500ms",
    replica_move_delay="200ms",
    drain_timeout="5s",
)
ZONES = ["zone-a", "zone-b", "zone-c"]
WAIT_SECONDS = 30.0


async def eventually(condition, what: str = "condition", timeout: float = WAIT_SECONDS) -> None:
    """Wait until `condition()` is true; fail the test if it is still false after `timeout` seconds.

    `condition` may be a function or a coroutine function.
    """
    try:
        async with asyncio.timeout(timeout):
            while True:
                value = condition()
                if asyncio.iscoroutine(value):
                    value = await value
                if value:
                    return
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise AssertionError(f"not true within {timeout} s: {what}") from None


class MemoryAccount(Account):
    """Account that keeps its entries in memory, where a test can inspect them."""

    def __init__(self) -> None:
        super().__init__(None)
        self.lines: list[dict] = []

    def append(self, entry: dict) -> None:
        self.lines.append(entry)


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    """Serve `app` on a free loopback port; return its runner and its address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    return runner, f"127.0.0.1:{port}"


class Platform:
    """Stand-ins for the key-value store and the app back ends, on loopback ports."""

    def __init__(self) -> None:
        self.key_value = KeyValueStandin()
        self.apps: dict[str, AppStandin] = {}
        self.accounts: dict[str, MemoryAccount] = {}
        self.app_addresses: dict[str, str] = {}
        self._runners: list[web.AppRunner] = []

    async def start(self, apps: int = 3) -> None:
        runner, self.key_value_address = await serve(self.key_value.application())
        self._runners.append(runner)
        for number in range(apps):
            name = f"app-{number}"
            self.accounts[name] = MemoryAccount()
            self.apps[name] = AppStandin(name, 0.0, self.accounts[name])
            runner, self.app_addresses[name] = await serve(self.apps[name].application())
            self._runners.append(runner)

    def documents(self, max_in_flight: int = 100) -> list:
        back_ends = [
            BackEnd(name=name, address=address, zone=ZONES[index % 3])
            for index, (name, address) in enumerate(self.app_addresses.items())
        ]
        service = Service(
            kind="Service", name="booking", home_region="home", back_ends=back_ends, deadline=3.0
        )
        limit = Limit(kind="Limit", name="limit", target="booking", max_in_flight=max_in_flight)
        return [service, limit]

    async def apply(self, documents: list) -> Pointer:
        """Apply the configuration `documents`; return the new configuration pointer."""
        client = KeyValueClient([self.key_value_address])
        try:
            return await apply_plan(client, await make_plan(client, documents), "test")
        finally:
            await client.close()

    def ran(self) -> list[str]:
        """Operations that the apps executed, one entry per execution."""
        return [line["operation"] for account in self.accounts.values() for line in account.lines]

    async def stop(self) -> None:
        for runner in self._runners:
            await runner.cleanup()


def settings_for(index: int, platform: Platform, seeds: list[str], **extra) -> NodeSettings:
    return NodeSettings(
        name=f"node-{index}",
        region="home",
        zone=ZONES[index % 3],
        caller_port=0,
        peer_port=0,
        key_value=[platform.key_value_address],
        seeds=seeds,
        record_slots=4,
        timing=FAST_TIMING,
        **extra,
    )


class SmallAgent:
    """A cluster agent with only the controllers that request records and configuration need."""

    def __init__(self, settings: NodeSettings) -> None:
        self.key_value = KeyValueClient(settings.key_value)
        self.agent = ClusterAgent(settings, self.key_value)
        self.transport = PeerTransport(settings.name, 0)

    async def start(self) -> str:
        """Start the agent and its controllers; return the peer address."""
        await self.agent.start(self.transport, "")
        self.placement = ReplicaPlacementController(self.agent)
        for controller in (
            FoundingController(self.agent),
            self.placement,
            ConfigurationFollower(self.agent),
        ):
            self.agent.tasks.start(controller.run(), type(controller).__name__)
        return self.agent.own.peer_address

    async def close(self) -> None:
        await self.agent.close()
        await self.key_value.close()


class Cluster:
    """Real nodes; each starts with the addresses of those started before it as seeds."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.nodes: dict[int, Node] = {}
        self.seeds: list[str] = []

    async def start_node(self, index: int, **extra) -> Node:
        settings = settings_for(index, self.platform, list(self.seeds))
        node = Node(settings.model_copy(update=extra))
        await node.start()
        self.nodes[index] = node
        self.seeds.append(node.agent.own.peer_address)
        return node

    async def kill(self, index: int) -> None:
        """Close the node without draining it first."""
        await self.nodes.pop(index).close()

    def url(self, index: int) -> str:
        return f"http://127.0.0.1:{self.nodes[index].caller_port}"

    async def wait_ready(self) -> None:
        await eventually(
            lambda: all(node.is_ready() for node in self.nodes.values()), "all nodes ready"
        )

    async def stop(self) -> None:
        for node in list(self.nodes.values()):
            await node.close()


@asynccontextmanager
async def running_cluster(nodes: int = 3, apps: int = 3):
    """Start a platform and a configured cluster; yield the cluster once every node is ready."""
    platform = Platform()
    await platform.start(apps)
    cluster = Cluster(platform)
    try:
        await platform.apply(platform.documents())
        for index in range(nodes):
            await cluster.start_node(index)
        await cluster.wait_ready()
        yield cluster
    finally:
        await cluster.stop()
        await platform.stop()
