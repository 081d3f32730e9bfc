"""What the scripts of the second review share: fronts as processes, and stand-ins beside them.

The fronts are started with the command of the deploy file. The store is the project's own stand-in,
with pages as large as the users' page says. Samplers and clients are written here.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import logging
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from crankseam.coordination.interface import Page, Put, Transaction
from crankseam_platform_standins.soak.proxy import StoreProxy
from crankseam_platform_standins.store_server import StoreServer
from crankseam_standins.memory_store import MemoryStore
from crankseam_standins.ports import free_port

logging.getLogger("aiohttp").disabled = True
logging.getLogger("aiohttp.server").disabled = True
ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a case."""
HOST = "ficu95.example"
JOB_PREFIX, PLAIN_PREFIX = "/pufi791/", "/lohu930/"
LLM, APP = "huvo11a", "wuno96b"
"""Services: model samplers, and app servers."""
MODEL = "daka510000"
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
"""An entry goes after three heartbeats of silence."""
PAGE_ENTRIES, PAGE_BYTES = 500, 2**20
"""What a page of the store holds at most."""
CONTACT_S, SETTLE_S = 3.0, 1.0
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 5.0
NODE = {
    "link_megabits": 1000.0,
    "memory_megabytes": 300,
    "max_descriptors": 4100,
}
BOUNDS = {
    "drain_milliseconds": 2000,
    "grace_seconds": 8,
    "contact_milliseconds": 3000,
    "configuration_milliseconds": 2000,
    "order_lease_milliseconds": 3000,
    "job_status_seconds": 120,
}
"""Settings of a front at the site mbf-depot, as its template fills them."""


def has_trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order of its times."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class PagedStore(MemoryStore):
    """The stand-in of the store, with the pages of the users' protocol."""

    async def page(self, prefix: str, after_key: str = "") -> Page:
        await asyncio.sleep(0)
        self._begin_call()
        keys = sorted(key for key in self.entries if key.startswith(prefix) and key > after_key)
        found, size = [], 0
        for key in keys[:PAGE_ENTRIES]:
            size += len(self.entries[key].value) * 4 // 3
            if found and size > PAGE_BYTES:
                break
            found.append(self.entries[key])
        return Page(found, len(keys) > len(found), self.revision)


@dataclass
class Run:
    """One request that began to run at a sampler."""

    id: str
    path: str
    body: bytes
    after: int
    at: float
    sampler: str


class Sampler:
    """A sampler that streams numbered events, and may crash under a request."""

    def __init__(self, rig: Rig, name: str, service: str = LLM, slots: int = 12) -> None:
        self.rig, self.name, self.service, self.slots = rig, name, service, slots
        self.port = free_port()
        self.incarnation = 0
        self.events, self.event_s = 20, 0.05
        self.version, self.sequence = 1, 0
        self.keeps_id = False
        self.restart_s = 2.0
        self.deadly: Callable[[Run], bool] = lambda run: False
        self.deadly_events = 0
        """Events of its stream that a deadly request still makes."""
        self.running = 0
        self.state = "ready"
        self.crashes: list[tuple[float, str]] = []
        self.is_up = False
        self._born = 0
        self._runner: web.ServerRunner | None = None
        self._server: web.Server | None = None
        self._site: web.TCPSite | None = None

    @property
    def id(self) -> str:
        return self.name if self.keeps_id else f"{self.name}-{self.incarnation}"

    async def start(self) -> None:
        self.incarnation += 1
        self.sequence = 0
        self._born = int(time.time() * 1000)
        self._server = web.Server(self._handle, handler_cancellation=True, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, "127.0.0.1", self.port, reuse_address=True)
        await self._site.start()
        self.is_up = True
        self.announce()

    def announce(self) -> None:
        self.rig.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "secunda-hall",
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "stage": "both",
                "models": [{"name": MODEL, "version": self.version, "adapters": []}]
                if self.service != APP
                else [],
                "seq": self.sequence,
                "born": self._born,
            },
        )

    async def crash(self, cause: str) -> None:
        """Reset all connections and stop to listen; come back after `restart_s`."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append((time.monotonic(), cause))
        self.rig.record.note(f"crash of {self.id} under {cause}")
        assert self._site is not None and self._site._server is not None
        self._site._server.close()
        assert self._server is not None
        for connection in list(self._server.connections):
            _reset(connection.transport)
        old_id = self.id
        self.rig.later(self._restart())
        if not self.keeps_id:
            self.rig.later(self._lapse(old_id))

    async def _restart(self) -> None:
        await asyncio.sleep(self.restart_s)
        assert self._runner is not None
        await self._runner.cleanup()
        await self.start()
        self.rig.record.note(f"sampler {self.id} is back")

    async def _lapse(self, old_id: str) -> None:
        await asyncio.sleep(LAPSE_S)
        self.rig.remove(f"servers/{old_id}")

    async def stop(self) -> None:
        if self._runner is not None:
            with contextlib.suppress(Exception):
                await self._runner.cleanup()

    # --- requests

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get("Expect-Instance")
        if expected is not None and expected != self.id:
            return self._answer(request, 421, {"Not-Run": "1", "Instance-Id": self.id})
        if request.path == "/v1/report":
            return self._report()
        if request.path == "/v1/order":
            return await self._order(request)
        if request.path == "/health":
            return web.Response(headers={"Instance-Id": self.id})
        body = await request.read()
        if "Request-Id" not in request.headers:
            return self._answer(request, 400, {"Not-Run": "1"})
        if self.running >= self.slots:
            return self._answer(request, 503, {"Not-Run": "1", "Server-Load": self._load()})
        self.running += 1
        try:
            return await self._run(request, body)
        finally:
            self.running -= 1

    def _answer(
        self, request: web.BaseRequest, status: int, headers: dict[str, str], body: bytes = b""
    ) -> web.Response:
        if "Request-Id" in request.headers:
            headers["Request-Id"] = request.headers["Request-Id"]
        return web.Response(status=status, headers=headers, body=body)

    def _load(self) -> str:
        return f"{self.running},0,{self.slots}"

    def _report(self) -> web.Response:
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        report: dict[str, Any] = {"stage": "both", "models": models, "busy": False}
        report["seq"] = self.sequence
        report |= {"waiting": 0, "running": self.running, "kv_used": 0, "kv_total": 114759}
        return web.json_response(report)

    async def _order(self, request: web.BaseRequest) -> web.Response:
        order = json.loads(await request.read())
        self.rig.record.note(f"order {order} at {self.id}")
        self.sequence += 1
        self.version = order["version"]
        self.announce()
        return web.Response(status=200)

    async def _run(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        after = int(request.headers.get("Last-Event-Id", "0"))
        name = request.headers["Request-Id"]
        run = Run(name, request.raw_path, body, after, time.monotonic(), self.id)
        self.rig.runs.append(run)
        self.rig.record.note(f"run {name} {run.path} after {after} at {self.id}")
        head = {"Request-Id": name, "Response-Stamp": f"{self.id}.{name}"}
        head |= {"Server-Load": self._load(), "Weight-Versions": str(self.version)}
        is_deadly = self.deadly(run)
        if is_deadly and not self.deadly_events:
            await asyncio.sleep(0.02)
            await self.crash(name)
        if "Model" not in request.headers:
            await asyncio.sleep(0.03)
            return web.Response(headers=head, body=b"done:" + body[:64])
        response = web.StreamResponse(headers=head)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for made, number in enumerate(range(after + 1, self.events + 1)):
            await asyncio.sleep(self.event_s)
            if is_deadly and made == self.deadly_events:
                await self.crash(name)
            await response.write(f"id: {number}\ndata: {name}.{number}\n\n".encode())
        await response.write_eof()
        return response


def _reset(transport: Any) -> None:
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


@dataclass
class Front:
    """One front, started with the command of the deploy file."""

    rig: Rig
    name: str
    proxy: StoreProxy
    callers: int = field(default_factory=free_port)
    readiness: int = field(default_factory=free_port)
    peers: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None
    memory_mb: int = 300

    async def start(self) -> None:
        node = NODE | {"memory_megabytes": self.memory_mb}
        lines = [f'name = "{self.name}"', 'ip = "127.0.0.1"', 'zone = "secunda-hall"']
        lines += ['role = "front"', 'data_folder = ""']
        lines += [f"{key} = {value}" for key, value in node.items()]
        lines += [f'store_address = "127.0.0.1:{self.proxy.port}"', "[listen]"]
        for key in ("callers", "readiness", "peers"):
            lines.append(f'{key} = "127.0.0.1:{getattr(self, key)}"')
        lines += ["[bounds]", *(f"{key} = {value}" for key, value in BOUNDS.items())]
        file = self.rig.folder / f"{self.name}.toml"
        file.write_text("\n".join(lines) + "\n", encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment |= {"PYTHONPATH": "target/deps", "CRANKSEAM_NODE_FILE": str(file)}
        with (self.rig.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["front"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.rig.record.note(f"front {self.name} started")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.rig.record.note(f"{number.name} to {self.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        url = f"http://127.0.0.1:{self.readiness}/v1/ready"
        try:
            async with self.rig.session.get(url, timeout=aiohttp.ClientTimeout(1)) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def peak_mb(self) -> float:
        """The most memory that the process has held, in units of 2**20 bytes."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        line = next(one for one in status.splitlines() if one.startswith("VmHWM"))
        return int(line.split()[1]) / 1024


@dataclass
class Got:
    """The answer to a call; status 0 if there was none."""

    status: int
    body: bytes = b""

    def json(self) -> Any:
        return json.loads(self.body)


class Rig:
    """A small deployment; `async with` starts it, and ends all that it started."""

    def __init__(self, folder: Path, fronts: int = 3) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = PagedStore()
        self.runs: list[Run] = []
        self.samplers: list[Sampler] = []
        self.fronts: list[Front] = []
        self._count = fronts
        self._tasks: set[asyncio.Task[None]] = set()
        self.max_attempts, self.max_queue_s = 3, 40.0

    def later(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def put(self, key: str, value: Any) -> None:
        """Write as the operator, a trainer or a sampler."""
        self.store.force(Transaction(puts=[Put(key, json.dumps(value).encode())]))

    def remove(self, key: str) -> None:
        self.store.force(Transaction(removals=[key]))

    async def __aenter__(self) -> Rig:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        application = StoreServer(self.store).application
        self._runner = web.AppRunner(application, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.store_port = self._runner.addresses[0][1]
        self.configure()
        for number in range(self._count):
            proxy = StoreProxy(self.store_port)
            await proxy.start()
            self.fronts.append(Front(self, f"front-{number + 1}", proxy))
        return self

    async def start(self) -> None:
        """Start samplers and fronts; raises TimeoutError if one does not get ready."""
        for sampler in self.samplers:
            await sampler.start()
        for front in self.fronts:
            await front.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for front in self.fronts:
                while not await front.is_ready():
                    await asyncio.sleep(0.1)
        await asyncio.sleep(CONTACT_S)

    async def __aexit__(self, *_: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*(front.kill() for front in self.fronts))
        for front in self.fronts:
            front.proxy.close()
        for sampler in self.samplers:
            await sampler.stop()
        await self.session.close()
        await self._runner.cleanup()
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._temporary.cleanup()

    def configure(self) -> None:
        routes = [
            {
                "name": "r-jobs",
                "hostname": HOST,
                "path_prefix": JOB_PREFIX,
                "kind": "rollout",
                "timeout_ms": 10000,
                "target_latency_ms": 400,
                "priority": 1,
                "service": LLM,
                "max_attempts": self.max_attempts,
                "max_queue_s": self.max_queue_s,
                "result_target_ms": 7500,
                "single_version": False,
                "sticky": True,
                "resumable": True,
            },
            {
                "name": "r-plain",
                "hostname": HOST,
                "path_prefix": PLAIN_PREFIX,
                "kind": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 191,
                "priority": 2,
                "service": APP,
                "max_attempts": 2,
            },
        ]
        services = [{"name": LLM, "health_path": "/health", "max_conns": 150}]
        services.append({"name": APP, "health_path": "/health", "max_conns": 96})
        limits = {"max_header_bytes": 16384, "max_body_bytes": 33554432}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.put(
            "op/config",
            {"version": 7, "routes": routes, "services": services, "limits": limits},
        )

    # --- calls of clients

    async def call(
        self,
        front: Front,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        quiet: bool = False,
    ) -> Got:
        """One call on a connection of its own."""
        url = f"http://127.0.0.1:{front.callers}{path}"
        sent = {"Host": HOST, **(headers or {})}
        sent.setdefault("Deadline-Ms", str(int(timeout_s * 1000)))
        got = Got(0)
        try:
            async with self.session.request(
                method, url, headers=sent, data=body, timeout=aiohttp.ClientTimeout(timeout_s + 1.5)
            ) as response:
                got = Got(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.note(f"{method} {path} at {front.name}: {type(error).__name__}")
        if not quiet:
            text = f"{method} {path} {sent.get('Request-Id', '')} at {front.name}"
            self.record.note(f"{text}: {got.status} {got.body[:300]!r}")
        return got

    async def submit(
        self,
        front: Front,
        job_id: str,
        items: list[dict[str, Any]],
        timeout_s: float = 10.0,
        deadline_s: float | None = None,
    ) -> Got:
        """Hand in a job; like a client, again after a refusal or no answer until `timeout_s`."""
        document = {"step": 0, "model": MODEL, "min_version": 1, "desired": 1, "requests": items}
        end = time.monotonic() + timeout_s
        while True:
            got = await self.call(
                front,
                "POST",
                f"{JOB_PREFIX}{job_id[:6]}",
                {"Request-Id": job_id, "Content-Type": "application/json"},
                json.dumps(document).encode(),
                timeout_s if deadline_s is None else deadline_s,
            )
            if got.status == 202 or time.monotonic() > end:
                return got
            await asyncio.sleep(0.3)


def item(name: str, body: bytes = b"", **more: Any) -> dict[str, Any]:
    """One item of a job."""
    return {
        "id": name,
        "path": f"{JOB_PREFIX}3/{name}",
        "headers": {"Model": MODEL, "Token-Counts": "540,400", "Prompt-Prefix": "9c2e41:300"},
        "body": base64.b64encode(body or name.encode()).decode(),
        "tokens": 940,
        "group": "g1",
        **more,
    }


def run_case(case: Callable[[], Any]) -> None:
    """Run a case; exits with its status, or with 2 if it could not run."""
    try:
        status = asyncio.run(asyncio.wait_for(case(), 115))
    except Exception as error:  # the case itself failed
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)
