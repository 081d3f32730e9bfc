"""Starts and signals the processes of an experiment; test tooling, not part of the service.

Only processes that this module started are signalled. It also builds the command lines of stand-ins
and nodes.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import aiohttp

START_TIMEOUT_S = 30.0
"""Maximum wait until a process answers at its health URL."""
STOP_TIMEOUT_S = 15.0
"""Seconds from SIGTERM to SIGKILL."""
POLL_S = 0.05
"""Seconds between two requests to a health URL."""


class ProcessFailed(Exception):
    """A process of the experiment ended before it was up."""


@dataclass
class ManagedProcess:
    """One process with its command and the health URL that shows whether it is up.

    A process without a health URL is a client; its standard output is kept in `stdout`.
    """

    name: str
    command: list[str]
    health_url: str | None
    log_folder: Path
    process: asyncio.subprocess.Process | None = None
    stdout: bytes = b""

    async def start(self) -> None:
        """Start the process; stderr, and stdout if there is a health URL, go to the log folder."""
        errors = (self.log_folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if self.health_url is None else errors,
            stderr=errors,
        )
        errors.close()

    async def wait_until_up(self, session: aiohttp.ClientSession) -> None:
        """Wait until the health URL answers 200.

        Raises:
            ProcessFailed: the process ended first.
            TimeoutError: `START_TIMEOUT_S` passed, or a request to the health URL timed out.
        """
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
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            assert self.process is not None
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def stop(self) -> int:
        """Send SIGTERM and return the exit code; after `STOP_TIMEOUT_S`, kill and return -1."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.wait()
        except TimeoutError:
            await self.kill()
            return -1

    async def wait(self) -> int:
        """Wait for the process to end, keep its output and return its exit code."""
        assert self.process is not None
        if self.process.stdout is not None:
            self.stdout += (await self.process.communicate())[0] or b""
        return await self.process.wait()


def standin_command(kind: str, *arguments: str) -> list[str]:
    """Build the command line of a stand-in of type `kind`."""
    return [sys.executable, "-m", "crankseam_standins.main", kind, *arguments]


def node_command(settings: Path, weakened: str | None = None) -> list[str]:
    """Build the command line of a node.

    Args:
        weakened: a promise whose mechanism is switched off in this node.
    """
    verb = ["node", "--settings", str(settings)]
    if weakened is None:
        return [sys.executable, "-m", "crankseam.cli.main", *verb]
    return [sys.executable, "-m", "crankseam_experiments.weakened_node", weakened, *verb]


def address_flags(address: str) -> list[str]:
    """Convert `host:port` to the flags `--host` and `--port`."""
    host, _, port = address.rpartition(":")
    return ["--host", host, "--port", port]
