"""Client of the key-value service: the etcd v3 HTTP/JSON gateway (range, txn, lease, watch).

The client limits the rate of its calls, and switches to the next gateway after a call that got no
answer. Failed calls are not retried here. A write whose answer was lost raises
`KeyValueOutcomeUnknown` and may have taken effect.
"""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from crankseam.backoff import TokenBucket
from crankseam.clients.bounded_responses import bounded_connector, read_limited
from crankseam.errors import (
    KeyValueError,
    KeyValueOutcomeUnknown,
    KeyValueThrottled,
    KeyValueUnavailable,
)

REQUESTS_PER_S = 20.0
"""Mean rate of calls that one process may make, so that no process exhausts the service's rate
limit."""
REQUEST_BURST = 40.0
"""Calls that one process may make at once after an idle period."""


@dataclass(frozen=True)
class KeyValue:
    """One key as stored by the service. Revisions are counters of the service."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


@dataclass(frozen=True)
class Put:
    """Write `value` under `key`, bound to `lease` unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Delete:
    """Remove `key`."""

    key: str


@dataclass(frozen=True)
class Unchanged:
    """Condition that the key's `mod_revision` has this value (0: the key does not exist)."""

    key: str
    mod_revision: int


def _encode_base64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode_key_value(raw: dict[str, Any]) -> KeyValue:
    return KeyValue(
        key=base64.b64decode(raw["key"]).decode(),
        value=base64.b64decode(raw.get("value", "")),
        create_revision=int(raw.get("create_revision", 0)),
        mod_revision=int(raw.get("mod_revision", 0)),
    )


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the key range that holds exactly the keys with this prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


MAX_ANSWER_BYTES = 64 * 2**20
"""Largest answer that is read: all keys of a prefix come in one."""


class KeyValueClient:
    """Typed access to the service; every failure raises a `KeyValueError`.

    Args:
        endpoints: host:port of each gateway; after a failure, the next one is used.
        timeout: timeout of one request, in seconds.
    """

    def __init__(self, endpoints: list[str], timeout: float = 2.0) -> None:
        self._endpoints = endpoints
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._bucket = TokenBucket(REQUESTS_PER_S, REQUEST_BURST)
        self._session: aiohttp.ClientSession | None = None
        self._endpoint_index = 0
        self.requests_sent = 0

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=bounded_connector())
        return self._session

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def _call(self, path: str, body: dict[str, Any], is_write: bool) -> dict[str, Any]:
        await self._bucket.take()
        self.requests_sent += 1
        url = f"http://{self._endpoints[self._endpoint_index]}{path}"
        try:
            async with self._open_session().post(url, json=body, timeout=self._timeout) as answer:
                return await self._read_answer(answer, is_write)
        except aiohttp.ClientConnectorError as error:
            self._switch_endpoint()
            raise KeyValueUnavailable("no connection") from error
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            self._switch_endpoint()
            if is_write:
                raise KeyValueOutcomeUnknown("the answer was lost") from error
            raise KeyValueUnavailable("no answer") from error

    async def _read_answer(self, answer: aiohttp.ClientResponse, is_write: bool) -> dict[str, Any]:
        content = await read_limited(answer, MAX_ANSWER_BYTES)
        if answer.status == 200:
            return msgspec.json.decode(content)
        if answer.status == 429:
            raise KeyValueThrottled("rate limit")
        if answer.status == 503:
            raise KeyValueUnavailable("service unavailable")
        if is_write and answer.status >= 500:
            raise KeyValueOutcomeUnknown(f"status {answer.status}")
        raise KeyValueError(f"status {answer.status}")

    def _switch_endpoint(self) -> None:
        self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)

    async def get(self, key: str) -> KeyValue | None:
        """Read one key; None if it does not exist."""
        found = await self._range({"key": _encode_base64(key)})
        return found[0] if found else None

    async def get_last(self, prefix: str, limit: int) -> list[KeyValue]:
        """Read the last `limit` keys that start with `prefix`, in descending order."""
        body = {
            "key": _encode_base64(prefix),
            "range_end": _encode_base64(prefix_end(prefix)),
            "limit": limit,
            "sort_order": "DESCEND",
            "sort_target": "KEY",
        }
        return await self._range(body)

    async def get_all(self, prefix: str) -> list[KeyValue]:
        """Read all keys that start with `prefix`."""
        return await self._range(
            {"key": _encode_base64(prefix), "range_end": _encode_base64(prefix_end(prefix))}
        )

    async def _range(self, body: dict[str, Any]) -> list[KeyValue]:
        answer = await self._call("/v3/kv/range", body, is_write=False)
        return [_decode_key_value(raw) for raw in answer.get("kvs", [])]

    async def transact(self, conditions: list[Unchanged], writes: list[Put | Delete]) -> bool:
        """Make all writes if all conditions hold; return whether they did. Raises like `commit`."""
        return await self.commit(conditions, writes) is not None

    async def commit(self, conditions: list[Unchanged], writes: list[Put | Delete]) -> int | None:
        """Make all writes if all conditions hold; return the revision, or None if one did not hold.

        Raises:
            KeyValueOutcomeUnknown: the answer was lost; read the keys to learn whether the writes
                were made.
            KeyValueUnavailable: no write was made.
        """
        body = {
            "compare": [self._encode_condition(condition) for condition in conditions],
            "success": [self._encode_write(write) for write in writes],
        }
        answer = await self._call("/v3/kv/txn", body, is_write=True)
        if not answer.get("succeeded", False):
            return None
        return int(answer.get("header", {}).get("revision", 0))

    @staticmethod
    def _encode_condition(condition: Unchanged) -> dict[str, Any]:
        return {
            "key": _encode_base64(condition.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(condition.mod_revision),
        }

    @staticmethod
    def _encode_write(write: Put | Delete) -> dict[str, Any]:
        if isinstance(write, Delete):
            return {"request_delete_range": {"key": _encode_base64(write.key)}}
        put = {"key": _encode_base64(write.key), "value": _encode_base64(write.value)}
        if write.lease:
            put["lease"] = str(write.lease)
        return {"request_put": put}

    async def grant_lease(self, seconds: int) -> int:
        """Create a lease that expires after `seconds` without a keep-alive; return its id."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(seconds)}, is_write=True)
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)}, is_write=False)
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys bound to it."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, is_write=True)

    async def watch(self, key: str) -> AsyncIterator[KeyValue]:
        """Yield the new state of the key at each change, until the stream breaks.

        Raises:
            KeyValueUnavailable: the stream broke; read the key and watch again.
        """
        body = {"create_request": {"key": _encode_base64(key)}}
        url = f"http://{self._endpoints[self._endpoint_index]}/v3/watch"
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
        self.requests_sent += 1
        try:
            async with self._open_session().post(url, json=body, timeout=timeout) as answer:
                if answer.status != 200:
                    raise KeyValueUnavailable("watch refused")
                async for line in answer.content:
                    for event in msgspec.json.decode(line)["result"].get("events", []):
                        yield _decode_key_value(event["kv"])
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError, ValueError) as error:
            self._switch_endpoint()
            raise KeyValueUnavailable("watch broke") from error
        raise KeyValueUnavailable("watch ended")
