"""A fleet of separate processes: stand-ins, nodes, and the links between nodes.

The fleet manages the processes and writes the nodes' settings files. Nodes listen on 127.0.BASE.N
with the same ports, so two fleets that run at the same time need different values of BASE.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import aiohttp

from crankseam.config.kinds import Document, SamplerPool, Service, WeightPolicy
from crankseam.config.reader import read_configuration
from crankseam_experiments.links import LinkProxy
from crankseam_experiments.processes import (
    ManagedProcess,
    address_flags,
    node_command,
    standin_command,
)
from crankseam_experiments.spec import Experiment

CALLER_PORT = 7080
"""Port for callers; the same for every node, each on its own loopback address."""
PEER_PORT = 7081
"""Port on which a node listens for its peers."""
PROXY_PORT = 7082
"""Port on which the link proxy listens for a node's peers, if link faults are enabled."""
READY_TIMEOUT_S = 40.0
"""Maximum wait until all nodes are ready; a heavily loaded machine needs most of it."""


class Fleet:
    """Stand-ins, nodes and link proxy of one experiment."""

    def __init__(
        self, spec: Experiment, folder: Path, out: Path, use_links: bool, weakened: str | None
    ) -> None:
        self.spec = spec
        self.out = out
        self._weakened = weakened
        files = [folder / item for item in spec.configuration]
        self.documents: list[Document] = read_configuration(files)
        self.standins: dict[str, ManagedProcess] = {}
        self.nodes: dict[str, ManagedProcess] = {}
        self.node_addresses: dict[str, str] = {}
        self.node_zones: dict[str, str] = {}
        self.links = LinkProxy() if use_links else None
        self.session: aiohttp.ClientSession

    def account(self, name: str) -> Path:
        """Path of the account log of the stand-in `name`."""
        return self.out / f"{name}.account.jsonl"

    # --- construction

    def _add_standin(self, name: str, kind: str, address: str, *extra: str) -> None:
        command = standin_command(
            kind,
            *address_flags(address),
            "--name",
            name,
            "--account",
            str(self.account(name)),
            *extra,
        )
        url = f"http://{address}/_account" if kind == "key-value" else f"http://{address}/_up"
        if kind in ("sampler", "app"):
            url = f"http://{address}/metrics"
        if kind == "machine-list":
            url = f"http://{address}/machines"
        if kind == "weight-store":
            url = f"http://{address}/pools/none/versions"
        self.standins[name] = ManagedProcess(name, command, url, self.out)

    def _plan_standins(self) -> None:
        platform = self.spec.platform
        self._add_standin("key-value", "key-value", platform.key_value)
        self._add_standin("machine-list", "machine-list", platform.machine_list)
        samplers = self.spec.samplers
        sampler_flags = [
            "--time-scale",
            str(samplers.time_scale),
            "--median-length",
            str(samplers.median_length),
            "--max-running",
            str(samplers.max_running),
            "--chunk-tokens",
            str(samplers.chunk_tokens),
        ]
        for document in self.documents:
            if isinstance(document, WeightPolicy):
                self._add_standin("weight-store", "weight-store", document.store)
            if isinstance(document, SamplerPool):
                for sampler in document.samplers:
                    self._add_standin(sampler.name, "sampler", sampler.address, *sampler_flags)
            if isinstance(document, Service):
                for back_end in document.back_ends:
                    work = str(self.spec.app_work_seconds)
                    self._add_standin(
                        back_end.name, "app", back_end.address, "--work-seconds", work
                    )

    def _plan_nodes(self) -> None:
        number = 0
        for index in range(self.spec.nodes_per_zone):
            for zone in self.spec.zones:
                number += 1
                name = f"node-{zone}-{index + 1}"
                host = f"127.0.{self.spec.address_base}.{number}"
                settings = self.out / f"{name}.toml"
                settings.write_text(self._settings(name, zone, host), encoding="utf-8")
                url = f"http://{host}:{CALLER_PORT}/healthz"
                self.nodes[name] = ManagedProcess(
                    name, node_command(settings, self._weakened), url, self.out
                )
                self.node_addresses[name] = f"{host}:{CALLER_PORT}"
                self.node_zones[name] = zone

    def peer_address(self, host: str) -> str:
        """Address at which peers reach the node at `host`: its own, or that of its link proxy."""
        if self.links is None:
            return f"{host}:{PEER_PORT}"
        return f"{host}:{PROXY_PORT}"

    def _settings(self, name: str, zone: str, host: str) -> str:
        seeds = [
            self.peer_address(f"127.0.{self.spec.address_base}.{number}")
            for number in range(1, len(self.spec.zones) + 1)
        ]
        lines = [
            f'name = "{name}"',
            f'region = "{self.spec.region}"',
            f'zone = "{zone}"',
            f'listen_host = "{host}"',
            f"caller_port = {CALLER_PORT}",
            f"peer_port = {PEER_PORT}",
            f'advertise_peer = "{self.peer_address(host)}"',
            f'bind_outgoing = "{host}"',
            f'key_value = ["{self.spec.platform.key_value}"]',
            f'machine_list = "{self.spec.platform.machine_list}"',
            f"seeds = {seeds!r}".replace("'", '"'),
            "[timing]",
            *(f'{name} = "{value}"' for name, value in self.spec.timing.items()),
        ]
        return "\n".join(lines) + "\n"

    # --- lifecycle

    async def start(self) -> None:
        """Start the link proxy, the stand-ins and the nodes; wait until all processes are up."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0))
        self._plan_standins()
        self._plan_nodes()
        if self.links is not None:
            for name, address in self.node_addresses.items():
                host = address.partition(":")[0]
                await self.links.open(name, host, PROXY_PORT, PEER_PORT)
        processes = [*self.standins.values(), *self.nodes.values()]
        for process in processes:
            await process.start()
        await asyncio.gather(*(process.wait_until_up(self.session) for process in processes))

    async def wait_until_ready(self) -> None:
        """Wait until every node is ready for new work."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for address in self.node_addresses.values():
                while not await self.is_ready(address):
                    await asyncio.sleep(0.05)

    async def is_ready(self, address: str) -> bool:
        """Whether the node at `address` is ready for new work."""
        try:
            async with self.session.get(f"http://{address}/readyz") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False  # the node is down or paused

    async def request_fault(self, address: str, **fault: Any) -> None:
        """Tell the stand-in at `address` to inject a fault; ignore a stand-in that is down."""
        try:
            async with self.session.post(f"http://{address}/_faults", json=fault):
                pass
        except (aiohttp.ClientError, TimeoutError):
            pass  # a stand-in that was killed needs no additional fault

    async def stop(self) -> dict[str, int]:
        """Stop the nodes gracefully, then the stand-ins; return the exit codes of the nodes."""
        codes = {}
        for name, node in self.nodes.items():
            if node.is_running():
                codes[name] = await node.stop()
        for standin in self.standins.values():
            if standin.is_running():
                await standin.stop()
        if self.links is not None:
            await self.links.close()
        await self.session.close()
        return codes

    async def kill_all(self) -> None:
        """Kill every node and stand-in that is still running."""
        for process in [*self.nodes.values(), *self.standins.values()]:
            if process.is_running():
                await process.kill()
