"""A fleet of hollow processes and the key-value stand-in, and what is measured on it."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

import aiohttp
import psutil

from crankseam.clients.key_value import KeyValueClient
from crankseam.cluster.zone_order import RELAY_PURPOSE, RELAYS_PER_ZONE
from crankseam.config.changes import apply_plan, make_plan
from crankseam.config.kinds import BackEnd, Document, Limit, SamplerPool
from crankseam.records.slots import rank
from crankseam_experiments.processes import ManagedProcess, address_flags, standin_command
from crankseam_experiments.spec import ScaleExperiment

KEY_VALUE_ADDRESS = "127.99.0.1:12379"
FIRST_CONTROL_PORT = 17000
FIRST_REGION = 101
PEER_PORT = 7081
START_BATCH = 20
SEEDS_PER_NODE = 3
READY_TIMEOUT_SECONDS = 120.0


class HollowFleet:
    """All processes for one size."""

    def __init__(self, spec: ScaleExperiment, size: int, seed: int, out: Path) -> None:
        self.spec = spec
        self.size = size
        self.seed = seed
        self._out = out
        self._changes = 0
        self.settings = [self._settings(number) for number in range(size)]
        self._processes: list[asyncio.subprocess.Process] = []
        self._ports: list[int] = []
        self._port_of: dict[str, int] = {}
        self.session: aiohttp.ClientSession
        self.key_value: KeyValueClient

    # --- layout ----------------------------------------------------------------------------

    def _zone_number(self, number: int) -> int:
        return number % min(self.spec.zones, max(self.spec.regions * 3, self.size // 4))

    def _place(self, number: int) -> tuple[str, str, str]:
        """Region, zone and address of a node: zones are dealt out to the regions in turn."""
        zone = self._zone_number(number)
        region = zone % self.spec.regions
        host = f"127.{FIRST_REGION + region}.{zone}.{number // 10 + 1}"
        return f"region-{region}", f"zone-{zone}", host

    def _settings(self, number: int) -> dict[str, Any]:
        region, zone, host = self._place(number)
        seeds: list[str] = []
        for other in range(SEEDS_PER_NODE * self.spec.zones):
            if other < self.size and len(seeds) < SEEDS_PER_NODE:
                seed_region, _, seed_host = self._place(other)
                if seed_region == region and other != number:
                    seeds.append(f"{seed_host}:{self._peer_port(other)}")
        # Other regions are found through one seed each.
        for other in range(min(self.size, self.spec.zones)):
            if self._place(other)[0] != region and len(seeds) < SEEDS_PER_NODE + 2:
                seeds.append(f"{self._place(other)[2]}:{self._peer_port(other)}")
        return {
            "name": f"node-{number:04d}",
            "region": region,
            "zone": zone,
            "listen_host": host,
            "peer_port": self._peer_port(number),
            "key_value": [KEY_VALUE_ADDRESS],
            "seeds": seeds,
            "record_slots": self.spec.record_slots,
            "timing": self.spec.timing,
        }

    @staticmethod
    def _peer_port(number: int) -> int:
        return PEER_PORT + number % 10

    def documents(self) -> list[Document]:
        """A configuration with the size's share of samplers."""
        count = max(3, self.spec.back_ends * self.size // max(self.spec.sizes))
        documents: list[Document] = []
        for region in range(self.spec.regions):
            samplers = []
            for number in range(region, count, self.spec.regions):
                zone = self._zone_in_region(region, number)
                address = f"127.200.{number // 250}.{number % 250 + 1}:8000"
                samplers.append(
                    BackEnd(name=f"sampler-{number}", address=address, zone=f"zone-{zone}")
                )
            name = f"pool-{region}"
            documents.append(
                SamplerPool(
                    kind="SamplerPool",
                    name=name,
                    home_region=f"region-{region}",
                    samplers=samplers,
                )
            )
            documents.append(
                Limit(
                    kind="Limit",
                    name=f"limit-{region}",
                    target=name,
                    max_in_flight=1000 + self._changes,
                )
            )
        return documents

    def _zone_in_region(self, region: int, number: int) -> int:
        zones = sorted({self._zone_number(n) for n in range(self.size)})
        own = [zone for zone in zones if zone % self.spec.regions == region]
        return own[(number // self.spec.regions) % len(own)]

    # --- running -------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start processes and nodes, and wait until every node is ready."""
        timeout = aiohttp.ClientTimeout(total=60.0)
        self.session = aiohttp.ClientSession(timeout=timeout)
        await self._start_key_value()
        self.key_value = KeyValueClient([KEY_VALUE_ADDRESS], timeout=5.0)
        await self._start_processes()
        await self.apply_change()
        names = [settings["name"] for settings in self.settings]
        for first in range(0, len(names), START_BATCH):
            await self.start_nodes(names[first : first + START_BATCH])
        await self.wait_until_ready(self.size)

    async def _start_key_value(self) -> None:
        command = standin_command("key-value", *address_flags(KEY_VALUE_ADDRESS))
        url = f"http://{KEY_VALUE_ADDRESS}/_account"
        self._key_value_process = ManagedProcess("key-value", command, url, self._out)
        await self._key_value_process.start()
        await self._key_value_process.wait_until_up(self.session)

    async def _start_processes(self) -> None:
        relays, others = self._split_relays()
        count = max(1, -(-len(others) // self.spec.nodes_per_process))
        # The relays share a process of their own, so that their cost can be told apart.
        shares = [relays] + [others[index::count] for index in range(count)]
        for index, mine in enumerate(share for share in shares if share):
            port = FIRST_CONTROL_PORT + index
            for settings in mine:
                self._port_of[settings["name"]] = port
            plan = {"nodes": mine, "control_port": port, "seed": self.seed}
            with (self._out / f"hollow-{index}.log").open("ab") as errors:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "crankseam_experiments.hollow",
                    stdin=asyncio.subprocess.PIPE,
                    stderr=errors,
                )
            assert process.stdin is not None
            process.stdin.write(json.dumps(plan).encode())
            process.stdin.close()
            self._processes.append(process)
            self._ports.append(port)
        for port in self._ports:
            await self._wait_for_port(port)

    def _split_relays(self) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
        """Nodes that will be relays of their zones while all live, and the others."""
        by_zone: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for settings in self.settings:
            by_zone[settings["zone"]].append(settings)
        chosen = set()
        for zone, members in by_zone.items():
            members.sort(key=lambda item: rank(f"{RELAY_PURPOSE}/{zone}", item["name"]))
            chosen |= {item["name"] for item in members[:RELAYS_PER_ZONE]}
        relays = [item for item in self.settings if item["name"] in chosen]
        return relays, [item for item in self.settings if item["name"] not in chosen]

    async def _wait_for_port(self, port: int) -> None:
        async with asyncio.timeout(30.0):
            while True:
                try:
                    await self._get(port, "/state")
                    return
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)

    async def _get(self, port: int, path: str) -> Any:
        async with self.session.get(f"http://127.0.0.1:{port}{path}") as answer:
            return await answer.json()

    async def _post(self, port: int, path: str, body: dict[str, Any]) -> Any:
        async with self.session.post(f"http://127.0.0.1:{port}{path}", json=body) as answer:
            return await answer.json()

    async def _post_by_process(self, path: str, names: list[str]) -> None:
        by_port: dict[int, list[str]] = defaultdict(list)
        for name in names:
            by_port[self._port_of[name]].append(name)
        await asyncio.gather(
            *(self._post(port, path, {"names": chosen}) for port, chosen in by_port.items())
        )

    async def start_nodes(self, names: list[str]) -> None:
        """Start nodes that do not run."""
        await self._post_by_process("/start", names)

    async def kill_nodes(self, names: list[str]) -> float:
        """End nodes as a crash would; returns when."""
        at = time.time()
        await self._post_by_process("/kill", names)
        return at

    async def cut_regions(self, regions: list[int]) -> None:
        """Cut these regions off from all others; an empty list mends."""
        body = {"regions": [str(FIRST_REGION + region) for region in regions]}
        await asyncio.gather(*(self._post(port, "/cut", body) for port in self._ports))

    async def states(self) -> list[dict[str, Any]]:
        """The state of every process."""
        return list(await asyncio.gather(*(self._get(port, "/state") for port in self._ports)))

    async def node_states(self) -> list[dict[str, Any]]:
        """The state of every node that runs."""
        states = await self.states()
        return [node for state in states for node in state["nodes"] if node["running"]]

    async def events(self) -> list[list[Any]]:
        """Events since the last call: [at, node, kind, subject, value]."""
        found = await asyncio.gather(*(self._get(port, "/events") for port in self._ports))
        return [event for events in found for event in events]

    async def wait_until_ready(self, count: int, timeout: float = READY_TIMEOUT_SECONDS) -> float:
        """Until `count` nodes are ready and know each other; returns the seconds it took."""
        started = time.monotonic()
        async with asyncio.timeout(timeout):
            while True:
                nodes = await self.node_states()
                ready = sum(node["ready"] and node["alive"] >= count for node in nodes)
                if ready >= count:
                    return time.monotonic() - started
                await asyncio.sleep(0.5)

    async def apply_change(self) -> tuple[float, int]:
        """Apply a configuration change; returns when it was accepted, and its revision."""
        self._changes += 1
        plan = await make_plan(self.key_value, self.documents())
        pointer = await apply_plan(self.key_value, plan, "scale")
        return time.time(), pointer.revision

    async def key_value_requests(self) -> int:
        """Requests that the key-value service has seen."""
        async with self.session.get(f"http://{KEY_VALUE_ADDRESS}/_account") as answer:
            return (await answer.json())["requests"]

    async def key_value_down(self, seconds: float) -> None:
        """Let the key-value service be down."""
        url = f"http://{KEY_VALUE_ADDRESS}/_faults"
        async with self.session.post(url, json={"down_seconds": seconds}):
            pass

    def total_memory(self) -> int:
        """Resident bytes of all hollow processes."""
        return sum(psutil.Process(p.pid).memory_info().rss for p in self._processes)

    async def stop(self) -> None:
        """End all processes of this fleet."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self.key_value.close()
        await self._key_value_process.stop()
        await self.session.close()
