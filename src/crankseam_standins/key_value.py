"""Stand-in for the key-value service: the subset of the etcd v3 HTTP/JSON gateway that is used.

Implements keys, revisions, leases and watches as the gateway exposes them, with the create and
modification revisions and the version of each key. The in-memory store for the platform
(`memory_store`) is deliberately separate: it adds pagination, compacted history and writes with
delayed effect, which the etcd clients of this project do not use.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

from crankseam_standins.faults import FaultOrder, Faults, lose_answer

LEASE_SWEEP_INTERVAL_S = 0.05
"""Interval between checks for expired leases, and so the longest delay of an expiry."""


@dataclass
class StoredKey:
    """Value of one key with its revisions, its version and its lease."""

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass
class Lease:
    """A lease and the keys that are deleted with it."""

    seconds: float
    expires: float
    keys: set[str] = field(default_factory=set)


class KeyValueStandin:
    """Keeps keys in memory under one revision counter, expires leases and streams watch events."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.faults.on_order = self._on_fault_order
        self._keys: dict[str, StoredKey] = {}
        self._revision = 1
        self._leases: dict[int, Lease] = {}
        self._lease_ids = itertools.count(1001)
        self._watchers: set[tuple[str, asyncio.Queue]] = set()
        self._sweep_task: asyncio.Task[None] | None = None

    def application(self) -> web.Application:
        """Return the HTTP application with all routes."""
        app = web.Application()
        self.faults.add_routes(app)
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/kv/txn", self._transact)
        app.router.add_post("/v3/lease/grant", self._grant)
        app.router.add_post("/v3/lease/keepalive", self._keep_alive)
        app.router.add_post("/v3/lease/revoke", self._revoke)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/_account", self._report_state)
        app.on_startup.append(self._start_sweep_task)
        app.on_cleanup.append(self._stop_sweep_task)
        return app

    async def _start_sweep_task(self, _app: web.Application) -> None:
        self._sweep_task = asyncio.create_task(self._remove_expired_leases())

    async def _stop_sweep_task(self, _app: web.Application) -> None:
        if self._sweep_task is not None:
            self._sweep_task.cancel()

    async def _remove_expired_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_INTERVAL_S)
            now = time.monotonic()
            for identifier, lease in list(self._leases.items()):
                if lease.expires < now:
                    self._end_lease(identifier)

    def _on_fault_order(self, order: FaultOrder) -> None:
        if order.lapse_leases:
            for identifier in list(self._leases):
                self._end_lease(identifier)

    def _end_lease(self, identifier: int) -> None:
        lease = self._leases.pop(identifier, None)
        for key in lease.keys if lease else ():
            self._delete(key)

    # --- keys

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        old = self._keys.get(key)
        created = old.create_revision if old else self._revision
        version = old.version + 1 if old else 1
        self._keys[key] = StoredKey(value, created, self._revision, version, lease)
        if lease in self._leases:
            self._leases[lease].keys.add(key)
        self._notify("PUT", key)

    def _delete(self, key: str) -> None:
        if self._keys.pop(key, None) is not None:
            self._revision += 1

    def _notify(self, kind: str, key: str) -> None:
        event = {"type": kind, "kv": self._render(key)}
        for watched, queue in self._watchers:
            if watched == key:
                queue.put_nowait(event)

    def _render(self, key: str) -> dict[str, str]:
        stored = self._keys[key]
        return {
            "key": key,
            "value": stored.value,
            "create_revision": str(stored.create_revision),
            "mod_revision": str(stored.mod_revision),
            "version": str(stored.version),
            "lease": str(stored.lease),
        }

    async def _range(self, request: web.Request) -> web.Response:
        body = await request.json()
        keys = self._keys_in_range(body["key"], body.get("range_end"))
        keys.sort(key=base64.b64decode, reverse=body.get("sort_order") == "DESCEND")
        limit = int(body.get("limit", 0))
        found = [self._render(key) for key in keys[: limit or None]]
        return self._json_response({"kvs": found, "count": str(len(keys))})

    def _keys_in_range(self, start: str, end: str | None) -> list[str]:
        if not end:
            return [start] if start in self._keys else []
        low, high = base64.b64decode(start), base64.b64decode(end)
        return [key for key in self._keys if low <= base64.b64decode(key) < high]

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._leases_exist(body.get("success", [])):
            return web.json_response({"error": "lease not found", "code": 5}, status=404)
        conditions_hold = all(self._is_revision_current(item) for item in body.get("compare", []))
        for operation in body.get("success" if conditions_hold else "failure", []):
            self._apply_operation(operation)
        if self.faults.consume_lost_answer():
            return lose_answer(request)
        return self._json_response({"succeeded": conditions_hold})

    def _leases_exist(self, operations: list[dict[str, Any]]) -> bool:
        named = [int(op.get("request_put", {}).get("lease", 0)) for op in operations]
        return all(lease == 0 or lease in self._leases for lease in named)

    def _is_revision_current(self, item: dict[str, Any]) -> bool:
        stored = self._keys.get(item["key"])
        current = stored.mod_revision if stored else 0
        return current == int(item["mod_revision"])

    def _apply_operation(self, operation: dict[str, Any]) -> None:
        if "request_put" in operation:
            put = operation["request_put"]
            self._put(put["key"], put["value"], int(put.get("lease", 0)))
        if "request_delete_range" in operation:
            self._delete(operation["request_delete_range"]["key"])

    def _json_response(self, body: dict[str, Any]) -> web.Response:
        return web.json_response({"header": {"revision": str(self._revision)}, **body})

    # --- leases

    async def _grant(self, request: web.Request) -> web.Response:
        seconds = float((await request.json())["TTL"])
        identifier = next(self._lease_ids)
        self._leases[identifier] = Lease(seconds, time.monotonic() + seconds)
        if self.faults.consume_lost_answer():
            return lose_answer(request)
        return self._json_response({"ID": str(identifier), "TTL": str(int(seconds))})

    async def _keep_alive(self, request: web.Request) -> web.Response:
        identifier = int((await request.json())["ID"])
        lease = self._leases.get(identifier)
        if lease is None:
            return self._json_response({"result": {"ID": str(identifier)}})
        lease.expires = time.monotonic() + lease.seconds
        return self._json_response(
            {"result": {"ID": str(identifier), "TTL": str(int(lease.seconds))}}
        )

    async def _revoke(self, request: web.Request) -> web.Response:
        self._end_lease(int((await request.json())["ID"]))
        return self._json_response({})

    # --- watches

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        key = (await request.json())["create_request"]["key"]
        queue: asyncio.Queue = asyncio.Queue()
        entry = (key, queue)
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        self._watchers.add(entry)
        try:
            await response.write(msgspec.json.encode({"result": {"created": True}}) + b"\n")
            while not self.faults.is_down():
                try:
                    event = await asyncio.wait_for(queue.get(), 0.2)
                except TimeoutError:
                    if request.transport is None or request.transport.is_closing():
                        break
                    continue
                await response.write(msgspec.json.encode({"result": {"events": [event]}}) + b"\n")
        except ConnectionError:
            pass  # the client closed the watch
        finally:
            self._watchers.discard(entry)
        return response

    async def _report_state(self, _request: web.Request) -> web.Response:
        return web.json_response({"keys": len(self._keys)})
