"""Starts and signals the processes of an experiment. A rig, not part of the system.

Owns each process that it started and nothing else; the commands of stand-ins and nodes stand here.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import aiohttp

START_TIMEOUT_S = 30.0
"""Until a process answers at its health URL."""
STOP_TIMEOUT_S = 15.0
"""From SIGTERM to a kill."""
POLL_S = 0.05
"""Between two looks at a health URL."""


class ProcessFailed(Exception):
    """A process of the experiment ended or did not come up."""


@dataclass
class ManagedProcess:
    """One process, its command, and how to see that it is up."""

    name: str
    command: list[str]
    health_url: str | None
    log_folder: Path
    process: asyncio.subprocess.Process | None = None
    stdout: bytes = b""

    async def start(self) -> None:
        """Start it; its output goes to the log folder."""
        errors = (self.log_folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if self.health_url is None else errors,
            stderr=errors,
        )
        errors.close()

    async def wait_until_up(self, session: aiohttp.ClientSession) -> None:
        """Wait until its health URL answers 200."""
        assert self.health_url is not None and self.process is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                if self.process.returncode is not None:
                    raise ProcessFailed(f"{self.name} ended with {self.process.returncode}")
                try:
                    async with session.get(self.health_url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass  # not up yet
                await asyncio.sleep(POLL_S)

    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it runs."""
        if self.is_running():
            assert self.process is not None
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def stop(self) -> int:
        """Ask it to stop and wait; kill it if it does not. Returns its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.wait()
        except TimeoutError:
            await self.kill()
            return -1

    async def wait(self) -> int:
        """Wait for its end; keeps what it printed."""
        assert self.process is not None
        if self.process.stdout is not None:
            self.stdout += (await self.process.communicate())[0] or b""
        return await self.process.wait()


def standin_command(kind: str, *arguments: str) -> list[str]:
    """Command line of a stand-in."""
    return [sys.executable, "-m", "crankseam_standins.main", kind, *arguments]


def node_command(settings: Path, weakened: str | None = None) -> list[str]:
    """Command line of a node; `weakened` names a promise whose mechanism it lacks."""
    verb = ["node", "--settings", str(settings)]
    if weakened is None:
        return [sys.executable, "-m", "crankseam.cli.main", *verb]
    return [sys.executable, "-m", "crankseam_experiments.weakened_node", weakened, *verb]


def address_flags(address: str) -> list[str]:
    """`--host` and `--port` for host:port."""
    host, _, port = address.rpartition(":")
    return ["--host", host, "--port", port]
