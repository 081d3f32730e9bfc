"""A small deployment for the review's scripts: fronts as processes, stand-ins in this process.

The fronts are started with the command of the deploy file. The store is the project's own stand-in
of the platform's store; each case brings its samplers. All addresses are loopback, all ports free.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from crankseam_platform_standins.store_server import StoreServer

from crankseam.coordination.interface import Put, Transaction
from crankseam_standins.memory_store import MemoryStore
from crankseam_standins.ports import free_port

ROOT = Path(__file__).resolve().parent.parent
HOST = "depot.example"
ZONES = ("secunda-hall", "witbank-hall", "ermelo-hall")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LINK_MEGABITS = 1000.0
READY_TIMEOUT_S = 20.0
GRACE_S = 8.0
"""`grace_s` of the site: seconds from SIGTERM to SIGKILL."""


def is_troubled() -> bool:
    """Whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, line by line, in `record.txt` beside the case."""

    def __init__(self, file: Path) -> None:
        self._began_at = time.monotonic()
        self._lines: list[str] = []
        self._file = file

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Add one line with its time."""
        self._lines.append(f"{self.now():8.3f}  {text}")

    def write(self) -> None:
        """Write all lines."""
        self._file.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


class Front:
    """One front process."""

    def __init__(self, name: str, zone: str, folder: Path, store_address: str) -> None:
        self.name = name
        self.callers = f"127.0.0.1:{free_port()}"
        self.readiness = f"127.0.0.1:{free_port()}"
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            "\n".join(
                [
                    f'name = "{name}"',
                    'ip = "127.0.0.1"',
                    f'zone = "{zone}"',
                    'role = "front"',
                    f"link_megabits = {LINK_MEGABITS}",
                    f'store_address = "{store_address}"',
                    "[listen]",
                    f'callers = "{self.callers}"',
                    f'readiness = "{self.readiness}"',
                    f'peers = "127.0.0.1:{free_port()}"',
                    f'metrics = "127.0.0.1:{free_port()}"',
                    "[bounds]",
                    "drain_milliseconds = 2000",
                    "grace_seconds = 8.0",
                    "contact_milliseconds = 3000",
                    "configuration_milliseconds = 2000",
                    "order_lease_milliseconds = 3000",
                    "job_status_seconds = 120",
                    "[duties]",
                ]
            )
            + "\n",
            encoding="utf-8",
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process as `deploy/system.toml` does."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CRANKSEAM_NODE_FILE"] = str(self._settings)
        if os.environ.get("REVIEW_DEPENDENCIES"):
            environment["PYTHONPATH"] = os.environ["REVIEW_DEPENDENCIES"]
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/start.py",
                "front",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log_events(self) -> list[str]:
        """Lines that the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace").splitlines()


class Deployment:
    """Store, fronts and clients; `async with` starts them, and ends what it started."""

    def __init__(self, record: Record, fronts: int) -> None:
        self.record = record
        self.store = MemoryStore()
        self._front_count = fronts
        self.fronts: list[Front] = []

    async def __aenter__(self) -> Deployment:
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        application = StoreServer(self.store).application
        self._runner = web.AppRunner(application, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        for number in range(self._front_count):
            zone = ZONES[number % len(ZONES)]
            self.fronts.append(Front(f"front-{zone}-{number}", zone, self._folder, address))
        return self

    async def start_fronts(self) -> None:
        """Start all fronts and wait until each says that it is ready."""
        for front in self.fronts:
            await front.start()
        for front in self.fronts:
            await self._wait_ready(front)
            self.record.add(f"{front.name} is ready")

    async def _wait_ready(self, front: Front) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < end:
                try:
                    async with session.get(f"http://{front.readiness}/v1/ready") as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)
        raise RuntimeError(f"{front.name} was not ready: {front.log_events()[-5:]}")

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(front.end() for front in self.fronts))
        await self._runner.cleanup()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    # --- the platform's side of the store

    def put(self, key: str, value: Any) -> None:
        """Write as the operator or a sampler does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.store.force(Transaction(puts=[Put(key, raw)]))

    def remove(self, key: str) -> None:
        """Remove a key as a sampler does when it has left."""
        self.store.force(Transaction(removals=[key]))


def entry(service: str, address: str, zone: Any, slots: int, model: str = "") -> dict[str, Any]:
    """A sampler's discovery entry, as the pages describe it."""
    models = [{"name": model, "version": 1, "adapters": []}] if model else []
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "stage": "both",
        "models": models,
        "seq": 1,
    }


class Answer:
    """What a client saw of one attempt; status 0: the connection ended without an answer."""

    def __init__(self, status: int, body: bytes = b"", headers: Any = None) -> None:
        self.status, self.body, self.headers = status, body, headers or {}


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 15.0,
) -> Answer:
    """One call of a client on a new connection."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    sent = {"Host": HOST, **headers}
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, f"http://{address}{path}", headers=sent, data=body
            ) as answer:
                return Answer(answer.status, await answer.read(), answer.headers)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Answer(0)


def main(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> None:
    """Run a case, write its record, and exit with its status.

    `case` returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    status = COULD_NOT_RUN
    # Ends the case in order, so that its fronts are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        status = HELD if asyncio.run(case(record)) else BROKEN
    except Exception:
        record.add("the case could not run: " + traceback.format_exc())
        traceback.print_exc()
    record.add({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "not run"))
    record.write()
    sys.exit(status)
