"""A second, late copy of a refusal arrives where the answer to an order should come.

One front, two order servers, a route of kind `unsafe`. The server in the front's zone refuses one
order because it is full (503, `Not-Run`), which the other server then runs. With the next order on
that connection, the server first sends the refusal again, under the id of the refused order, and
runs the order. The check is TWICE: an order runs at most once.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from pathlib import Path
from typing import Any

from rig import ZONES, Deployment, Record, call, entry, is_troubled, main

SERVICE = "order-desk"
SLOTS = 6
ROUNDS = 8
PAUSE_S = 0.3
"""Between two orders: longer than a refusing server is avoided, less than connections are kept."""
WORK_S = 0.025
READ_BYTES = 65536


def configuration() -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "drop-order",
                "hostname": "depot.example",
                "path_prefix": "/orders/",
                "kind": "unsafe",
                "service": SERVICE,
                "timeout_ms": 2000,
                "target_latency_ms": 192,
                "max_attempts": 3,
            }
        ],
        "services": [{"name": SERVICE, "max_conns": 96}],
        "limits": {},
    }


class OrderServer:
    """An order server that speaks HTTP/1.1 with kept connections and repeats `Request-Id`.

    It refuses the orders in `full_for`. If `repeats_refusals`, it sends such an answer once more,
    late: at the place of the next answer on the same connection.
    """

    def __init__(self, instance: str, record: Record) -> None:
        self.instance = instance
        self.full_for: set[str] = set()
        self.repeats_refusals = False
        self.runs: Counter[str] = Counter()
        self.address = ""
        self._record = record
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        late = b""
        try:
            while True:
                request_id, expected, body = await _read_request(reader)
                if late:
                    self._record.add(
                        f"{self.instance} sends its refusal again, before it answers {request_id}"
                    )
                    writer.write(late)
                    await writer.drain()
                    late = b""
                if expected not in ("", self.instance):
                    writer.write(_head(421, request_id, self.instance) + b"\r\n")
                elif request_id in self.full_for:
                    refusal = (
                        _head(503, request_id, self.instance)
                        + b"Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    )
                    self._record.add(
                        f"{self.instance} is full and refuses {request_id} (503, Not-Run)"
                    )
                    writer.write(refusal)
                    late = refusal if self.repeats_refusals else b""
                else:
                    await self._run(writer, request_id, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            with contextlib.suppress(Exception):
                await writer.wait_closed()

    async def _run(self, writer: asyncio.StreamWriter, request_id: str, body: bytes) -> None:
        self.runs[request_id] += 1
        self._record.add(f"{self.instance} runs {request_id}")
        await asyncio.sleep(WORK_S)
        head = _head(200, request_id, self.instance)
        stamp = f"Response-Stamp: {self.instance}.{request_id}\r\n".encode()
        text = b"taken:" + body
        writer.write(head + stamp + f"Content-Length: {len(text)}\r\n\r\n".encode() + text)


def _head(status: int, request_id: str, instance: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status} X",
        f"Request-Id: {request_id}",
        f"Instance-Id: {instance}",
        f"Server-Load: 0,0,{SLOTS}",
    ]
    return ("\r\n".join(lines) + "\r\n").encode()


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    fields = {name.lower(): value for name, value in fields.items()}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return fields.get("request-id", ""), fields.get("expect-instance", ""), body


async def case(record: Record) -> bool:
    """Play the case; returns whether the rule held."""
    async with Deployment(record, fronts=1) as deployment:
        servers = [OrderServer("a-near", record), OrderServer("a-far", record)]
        for server, zone in zip(servers, ZONES, strict=False):
            await server.start()
            deployment.put(
                f"servers/{server.instance}", entry(SERVICE, server.address, zone, SLOTS)
            )
        servers[0].repeats_refusals = is_troubled()
        deployment.put("op/config", configuration())
        await deployment.start_fronts()
        try:
            return await play(deployment, record, servers)
        finally:
            for server in servers:
                server.stop()


async def order(deployment: Deployment, record: Record, request_id: str) -> None:
    """Send one order as a client does."""
    record.add(f"sent: {request_id}")
    headers = {"Request-Id": request_id, "Deadline-Ms": "2000"}
    answer = await call(deployment.fronts[0].callers, "POST", "/orders/1", headers, b"1000 l")
    stamp = answer.headers.get("Response-Stamp", "none")
    record.add(f"answered: {request_id}: {answer.status or 'connection ended'}, stamp {stamp}")


async def play(deployment: Deployment, record: Record, servers: list[OrderServer]) -> bool:
    """Send all orders, and judge."""
    for number in range(ROUNDS):
        refused, following = f"order-{number}-refused", f"order-{number}-following"
        servers[0].full_for.add(refused)
        await order(deployment, record, refused)
        await asyncio.sleep(PAUSE_S)
        await order(deployment, record, following)
        await asyncio.sleep(PAUSE_S)
    runs = servers[0].runs + servers[1].runs
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    for request_id in twice:
        record.add(f"TWICE: {request_id} ran {runs[request_id]} times")
    record.add(f"orders sent {2 * ROUNDS}, run {len(runs)}, run more than once {len(twice)}")
    return not twice


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
