"""One deployed front as a process of its own, with stand-ins of the store and of back ends.

The process runs `platform/start.py` on settings from the deployed template.
"""

import asyncio
import base64
import itertools
import os
import sys

import msgspec
from aiohttp import web
from crankseam_platform_standins.sampler_server import SamplerServer
from crankseam_platform_standins.store_server import StoreServer

from crankseam.coordination.interface import Put, Transaction
from crankseam_standins.memory_store import MemoryStore
from crankseam_standins.ports import free_port
from tests.crowds.process import REPOSITORY, Process
from tests.crowds.template import fill

HOST = "app.example"
MIB = 2**20
ANSWER_TIMEOUT_S = 20.0
"""Time that an ordinary caller waits for one answer; it then tries again."""
TRIES = 40
"""Tries of an ordinary caller, each after the pause that the refusal named."""
ROUTES = {"safe": "safe", "once": "unsafe", "job": "rollout"}


class Deployment:
    """A store, a back end and one front on a machine with the given limits."""

    def __init__(self, folder, memory_mb, max_fds, max_body_bytes, back_ends=2):
        self.folder = folder
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.max_body_bytes = max_body_bytes
        self.store = MemoryStore()
        self.back_ends = [
            SamplerServer(f"i-{number}", max_body_bytes=4 * max_body_bytes)
            for number in range(back_ends)
        ]
        self.callers, self.readiness = free_port(), free_port()
        # The template names a port for metrics; another front on the machine may have it.
        number = os.getpid() % 2**16
        self.own_ip = f"127.1.{number // 2**8}.{number % 2**8 or 1}"
        self._numbers = itertools.count()

    async def __aenter__(self):
        application = StoreServer(self.store).application
        self._runner = web.AppRunner(application, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self._put("op/config", msgspec.json.encode(self._configuration()))
        for back_end in self.back_ends:
            await back_end.start()
            self._put(f"servers/{back_end.instance}", back_end.entry())
        settings = self.folder / "settings.toml"
        template = (REPOSITORY / "platform/settings.toml.template").read_text()
        settings.write_text(fill(template, self._fields()))
        self.front = Process(
            [sys.executable, "platform/start.py", "front"],
            {"CRANKSEAM_NODE_FILE": str(settings)},
            self.folder / "front.log",
            {self.callers, self.readiness},
        )
        await self.front.__aenter__()
        self._forgetting = asyncio.create_task(self._forget_bodies())
        await self.ask_until_answered(b"calm")
        return self

    async def __aexit__(self, *_):
        self._forgetting.cancel()
        await self.front.__aexit__()
        for back_end in self.back_ends:
            await back_end.stop()
        await self._runner.cleanup()

    async def _forget_bodies(self):
        """The back ends' records would hold all bodies of the crowd."""
        while True:
            for back_end in self.back_ends:
                back_end.ran.clear()
            await asyncio.sleep(0.1)

    def _put(self, key, value):
        self.store.force(Transaction(puts=[Put(key, value)]))

    def _configuration(self):
        routes = [
            {
                "name": f"r-{name}",
                "hostname": HOST,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": 15000,
                "target_latency_ms": 400,
                "service": "svc",
                "max_attempts": 3,
                "max_queue_s": 40,
                "resumable": True,
            }
            for name, kind in ROUTES.items()
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": self.max_body_bytes,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        services = [{"name": "svc", "health_path": "/h", "max_conns": 100}]
        return {"version": 1, "routes": routes, "services": services, "limits": limits}

    def _fields(self):
        """The fields of a process's settings as the platform gives them."""
        return {
            "node_name": "front-1",
            "ip": self.own_ip,
            "zone": "z",
            "role": "front",
            "internal_ports": [free_port()],
            "platform": {"address": f"127.0.0.1:{self._runner.addresses[0][1]}"},
            "listen": {
                "front": f"127.0.0.1:{self.callers}",
                "ready": f"127.0.0.1:{self.readiness}",
            },
            "limits": {
                "memory_mb": self.memory_mb,
                "max_fds": self.max_fds,
                "link_mbps": 1000.0,
            },
            "bounds": {"grace_s": 8, "status_s": 120, "lease_ms": 3000},
        }

    def head(self, path, length=None, **headers):
        """The head of a request; the body comes in chunks if its length is not given."""
        lines = {
            "Host": HOST,
            "Request-Id": f"q-{next(self._numbers):08x}",
            "Deadline-Ms": "20000",
        }
        self._last_id = lines["Request-Id"]
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        if length is None:
            lines["Transfer-Encoding"] = "chunked"
        else:
            lines["Content-Length"] = str(length)
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        return f"POST {path} HTTP/1.1\r\n{text}\r\n".encode()

    async def ask_until_answered(self, body, path="/once/x", expected=200):
        """Behave as an ordinary caller does: one connection a try, again after each refusal."""
        seen = []
        for _ in range(TRIES):
            assert self.front.is_alive(), f"the process ended: {self.front.process.returncode}"
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status, pause_s, answer = await self._ask(body, path)
            except (OSError, EOFError, TimeoutError) as error:
                status, pause_s, answer = type(error).__name__, 0.3, b""
            if status == expected:
                assert expected != 200 or answer == b"echo:" + body
                return
            seen.append(status)
            await asyncio.sleep(pause_s)
        raise AssertionError(f"an ordinary request of {len(body)} bytes saw {seen}")

    def last_request_id(self):
        """Id of the request whose head was made last."""
        return self._last_id

    def name_version(self, version):
        """Name a weight version, which all samplers are to load."""
        named = {"model": "m", "version": version}
        self._put("op/version/m", msgspec.json.encode(named))

    async def get(self, path):
        """Read the body of a `GET`; empty if the status is another than 200."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.callers, limit=MIB)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            return body if int(head.split()[1]) == 200 else b""
        finally:
            writer.close()

    async def _ask(self, body, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.callers, limit=MIB)
        try:
            writer.write(self.head(path, len(body)))
            sending = asyncio.create_task(self._send(writer, body))
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            if fields.get("transfer-encoding") == "chunked":
                answer = await self._read_chunks(reader)
            else:
                answer = await reader.readexactly(int(fields.get("content-length", 0)))
            sending.cancel()
            return int(head.split()[1]), float(fields.get("retry-after", 0.3)), answer
        finally:
            writer.close()

    @staticmethod
    async def _read_chunks(reader):
        """Read a body in chunks; raises EOFError if its end is missing."""
        body = bytearray()
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        return bytes(body)

    @staticmethod
    async def _send(writer, body):
        try:
            writer.write(body)
            await writer.drain()
        except ConnectionError:
            pass  # the answer, or its absence, tells what the process made of the request

    def job(self, size_bytes, items=16):
        """A submission of nearly this size, never more, whose items are generations."""
        each = (size_bytes // items - 300) // 4 * 3
        body = base64.b64encode(bytes(each)).decode()
        requests = [
            {
                "id": f"item-{next(self._numbers)}",
                "path": f"/job/{number}",
                "headers": {"Model": "m", "Token-Counts": "10,20"},
                "body": body,
                "tokens": 30,
            }
            for number in range(items)
        ]
        return msgspec.json.encode({"model": "m", "min_version": 1, "requests": requests})

    def check(self):
        """The process lives, and stayed within the limits of its machine all the time."""
        self.front.check(self.memory_mb, self.max_fds)
