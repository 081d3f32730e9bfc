"""A planned stop of one front while clients go on using their kept connections to it.

Three fronts, three order servers. Steady traffic: clients that each keep a connection to one front
and send an order on it every few seconds. That front gets SIGTERM. The check is LOST of planned
work: an order that the front has read and passed on is answered, until the end of the stop.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from crankseam_platform_standins.sampler_server import SamplerServer
from rig import GRACE_S, HOST, ZONES, Deployment, Front, Record, entry, is_troubled, main

SERVICE = "order-desk"
SERVERS, SLOTS, WORK_S = 3, 6, 0.5
CLIENTS = 72
ORDER_EVERY_S = 0.1
"""Between two orders of all clients; each client sends one every 7.2 s."""
REST_S = CLIENTS * ORDER_EVERY_S
"""Below four fifths of `idle_timeout_ms`, for which these clients reuse a connection."""
DEADLINE_S = 2.0
RUNS_S = GRACE_S + 2.0
"""How long traffic goes on after the stop began."""
FINE_AFTER_STOP_S = 3.0
"""Orders sent up to then are excused if their server worked in the last sixth of the grace."""
LAST_SIXTH_S = GRACE_S * 5 / 6
COUNTED_S = GRACE_S + 1.0
"""LOST counts until this long after SIGTERM."""


def configuration() -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "drop-order",
                "hostname": HOST,
                "path_prefix": "/orders/",
                "kind": "safe",
                "service": SERVICE,
                "timeout_ms": int(DEADLINE_S * 1000),
                "target_latency_ms": 1500,
                "max_attempts": 2,
            }
        ],
        "services": [{"name": SERVICE, "max_conns": 96}],
        "limits": {"idle_timeout_ms": 15000, "max_body_bytes": 33554432},
    }


@dataclass
class Order:
    """One client attempt, as its client saw it; `status` 0: the connection ended unanswered."""

    id: str
    front: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0


class Client:
    """Keeps one connection; if its front closes it, the platform leads the next one elsewhere."""

    def __init__(self, number: int, front: Front, others: list[Front], record: Record) -> None:
        self._number, self._front, self._others = number, front, others
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.orders: list[Order] = []

    async def run(self) -> None:
        """Send orders until cancelled."""
        await asyncio.sleep(self._number * ORDER_EVERY_S)
        while True:
            asked_at = self._record.now()
            await self._order()
            await asyncio.sleep(max(0.0, REST_S - (self._record.now() - asked_at)))

    async def _order(self) -> None:
        if self._streams is None:
            host, port = self._front.callers.split(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        request_id = f"order-{self._number}-{len(self.orders)}"
        order = Order(request_id, self._front.name, self._record.now())
        self.orders.append(order)
        is_kept = False
        try:
            async with asyncio.timeout(DEADLINE_S):
                is_kept = await self._exchange(reader, writer, order)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        order.ended_at = self._record.now()
        if not is_kept:
            writer.close()
            self._streams = None
            self._front = self._others[self._number % len(self._others)]

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, order: Order
    ) -> bool:
        """Send an order and read its whole answer; returns whether the connection is kept."""
        body = b"1000 l"
        head = (
            f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {order.id}\r\n"
            f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        await reader.readexactly(int(fields.get("content-length", "0")))
        order.status = int(lines[0].split(" ")[1])
        return fields.get("connection") != "close"

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()


async def case(record: Record) -> bool:
    """Play the case; returns whether the rule held."""
    async with Deployment(record, fronts=3) as deployment:
        servers = [
            SamplerServer(f"a-{number}", service=SERVICE, slots=SLOTS, work_s=WORK_S)
            for number in range(SERVERS)
        ]
        for server, zone in zip(servers, ZONES, strict=True):
            await server.start()
            address = server.address
            deployment.put(f"servers/{server.instance}", entry(SERVICE, address, zone, SLOTS))
        deployment.put("op/config", configuration())
        await deployment.start_fronts()
        front, *others = deployment.fronts
        clients = [Client(number, front, others, record) for number in range(CLIENTS)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        try:
            await asyncio.sleep(REST_S)
            stopped_at = record.now()
            if is_troubled():
                record.add(f"SIGTERM to {front.name}")
                front.signal(signal.SIGTERM)
            await asyncio.sleep(RUNS_S)
            return judge(record, clients, servers, stopped_at)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for client in clients:
                client.close()
            for server in servers:
                with contextlib.suppress(Exception):
                    await server.stop()


def judge(
    record: Record, clients: list[Client], servers: list[SamplerServer], stopped_at: float
) -> bool:
    """Tell all orders in the record; returns whether LOST held."""
    passed_on = {seen.id for server in servers for seen in server.ran}
    orders = sorted(
        (order for client in clients for order in client.orders if order.ended_at),
        key=lambda order: order.sent_at,
    )
    lost = []
    for order in orders:
        after_s = order.sent_at - stopped_at
        is_passed_on = order.id in passed_on
        outcome = order.status or "connection closed without an answer"
        record.add(
            f"order {order.id} at {order.front}: sent {after_s:+.3f} s from the stop, "
            f"{'passed on' if is_passed_on else 'not passed on'}, "
            f"ended {order.ended_at - stopped_at:+.3f}: {outcome}"
        )
        if order.status or not is_passed_on or not 0.0 <= after_s <= COUNTED_S:
            continue
        is_at_deadline = order.ended_at - order.sent_at >= DEADLINE_S
        was_at_work_late = after_s + WORK_S >= LAST_SIXTH_S and after_s <= FINE_AFTER_STOP_S
        if not is_at_deadline and not was_at_work_late:
            lost.append(order)
            record.add(f"LOST: {order.id} was passed on and never answered")
    record.add(f"orders sent {len(orders)}, LOST {len(lost)}")
    return not lost


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
