"""Measures costs that grow with load, in one process over loopback: records, moves, tokens.

The figures are slopes for docs/CAPACITY.md: processor time and bytes of one more unit of work.
"""

from __future__ import annotations

import asyncio
import resource
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from crankseam.clients.load_report import fetch_load_report
from crankseam.clients.sampler import CompletionRequest, SamplerClient
from crankseam.identifiers import date_of, new_dated_id
from crankseam.peers.messages import (
    Accept,
    AnyMessage,
    Ballot,
    Message,
    ReplicaSet,
)
from crankseam.peers.transport import PeerTransport
from crankseam.records.proposer import Proposer, RecordKey
from crankseam.records.reconfigurer import Reconfigurer
from crankseam.records.replica import ReplicaStore
from crankseam.records.slots import SlotTable
from crankseam.requests.request_record import RequestRecord, RequestState, encode_record
from crankseam.rollout.executors import read_stream
from crankseam.rollout.messages import SampleRecord, SampleResult, Segment
from crankseam_experiments.spec import SlopesExperiment

MEMBERS = ["a@1", "b@1", "c@1", "d@1"]
CONCURRENCY = 32


def cpu_seconds() -> float:
    """Processor time of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class LoopbackReplicas:
    """Four replica stores behind real sockets, and a client."""

    def __init__(self) -> None:
        self.stores: dict[str, ReplicaStore] = {}
        self.transports: dict[str, PeerTransport] = {}
        self._addresses: dict[str, str] = {}

    async def start(self) -> ReplicaSet:
        """Listen, and found one slot on the first three."""
        replica_set = ReplicaSet(0, 1, MEMBERS[:3], founded=True)
        for member in MEMBERS:
            store = ReplicaStore(member, lambda _set: None)
            store.adopt(replica_set)
            transport = PeerTransport(member, 1)
            for message_type, handler in store.handlers().items():
                transport.handle(message_type, handler)
            port = await transport.listen("127.0.0.1", 0)
            self._addresses[member] = f"127.0.0.1:{port}"
            self.stores[member] = store
            self.transports[member] = transport
        self.client = PeerTransport("client", 1)
        return replica_set

    async def call_identity(self, identity: str, message: Message, timeout: float) -> AnyMessage:
        """Reach a store by its identity."""
        return await self.client.call(self._addresses[identity], message, timeout)

    def bytes_sent(self) -> tuple[int, int]:
        """By the client, and by the replicas."""
        replicas = sum(transport.current_bytes_out() for transport in self.transports.values())
        return self.client.current_bytes_out(), replicas

    async def close(self) -> None:
        """Stop listening."""
        for transport in [*self.transports.values(), self.client]:
            await transport.close()


def claim_and_answer() -> tuple[bytes, bytes]:
    """The two values of one app request, with an answer of 300 bytes."""
    claim = RequestRecord(
        RequestState.CLAIMED, new_dated_id(), "0" * 16, body_digest="0" * 16
    )  # fmt: skip
    answer = msgspec.structs.replace(
        claim,
        state=RequestState.ANSWERED,
        status=200,
        headers={"Content-Type": "application/json"},
        body=b"x" * 300,
        decision_id="node-0001.19a2b3c4d5e.123456",
    )
    return encode_record(claim), encode_record(answer)


def sample_value(tokens: int) -> bytes:
    """The record of one sample."""
    result = SampleResult(
        "trainer", 1, 1, 0, list(range(1000, 1000 + tokens)), [Segment(1, 0, tokens)], ["sampler-1"]
    )
    return msgspec.msgpack.encode(SampleRecord(0, msgspec.json.encode(result)))


async def _many(count: int, work: Callable[[int], Awaitable[None]]) -> None:
    gate = asyncio.Semaphore(CONCURRENCY)

    async def one(number: int) -> None:
        async with gate:
            await work(number)

    await asyncio.gather(*(one(number) for number in range(count)))


async def run_slopes(spec: SlopesExperiment, out: Path) -> dict[str, Any]:
    """Measure everything; returns the report."""
    replicas = LoopbackReplicas()
    replica_set = await replicas.start()
    slots = SlotTable()
    slots.learn(replica_set)
    proposer = Proposer("client@1", replicas, slots, timeout=5.0)
    report: dict[str, Any] = {"name": spec.name}
    report["request_record"] = await _measure_requests(spec.records, replicas, proposer)
    report["sample_record"] = await _measure_samples(spec.records // 4, replicas, proposer)
    report["move"] = await _measure_move(replicas, proposer, slots, replica_set)
    await replicas.close()
    report["memory"] = _measure_memory(spec.records)
    report["load_poll"] = await _measure_polls(spec.records // 4)
    report["stream"] = await _measure_stream()
    report["summary"] = {
        "request_cpu_us": report["request_record"]["cpu_us"],
        "record_memory_bytes": report["memory"]["request_record_bytes"],
    }
    report["passed"] = True
    return report


async def _measure_requests(
    count: int, replicas: LoopbackReplicas, proposer: Proposer
) -> dict[str, Any]:
    """One claim and one answer each: two writes to three replicas, both ends in this process."""
    claim, answer = claim_and_answer()

    async def request(_number: int) -> None:
        key = new_dated_id()
        where = RecordKey(0, f"r/booking-app/{key}", date_of(key))
        owned = await proposer.create(where, claim)
        assert owned is not None
        assert await proposer.overwrite(where, owned, answer)

    await _many(200, request)  # connections and caches warm
    client, back = replicas.bytes_sent()
    started = cpu_seconds()
    await _many(count, request)
    spent = cpu_seconds() - started
    client_after, back_after = replicas.bytes_sent()
    return {
        "count": count,
        "cpu_us": round(spent / count * 1e6, 1),
        "cpu_us_per_pair": round(spent / count / 6 * 1e6, 1),
        "bytes_out": round((client_after - client) / count),
        "bytes_back": round((back_after - back) / count),
    }


async def _measure_samples(
    count: int, replicas: LoopbackReplicas, proposer: Proposer
) -> dict[str, Any]:
    """One commit of a sample of 1,000 tokens each."""
    value = sample_value(1000)

    async def sample(number: int) -> None:
        where = RecordKey(0, f"sample/trainer/1/{number}", date_of(new_dated_id()))
        assert await proposer.create(where, value) is not None

    started = cpu_seconds()
    await _many(count, sample)
    spent = cpu_seconds() - started
    return {
        "count": count,
        "tokens": 1000,
        "cpu_us": round(spent / count * 1e6, 1),
        "value_bytes": len(value),
    }


async def _measure_move(
    replicas: LoopbackReplicas, proposer: Proposer, slots: SlotTable, replica_set: ReplicaSet
) -> dict[str, Any]:
    """Move the slot, with all that was written, from one replica to another."""
    records = replicas.stores[MEMBERS[0]].record_count()
    before = sum(replicas.bytes_sent())
    started, clock = cpu_seconds(), asyncio.get_running_loop().time()
    reconfigurer = Reconfigurer(replicas, proposer, slots)
    await reconfigurer.move(replica_set, [MEMBERS[0], MEMBERS[1], MEMBERS[3]])
    return {
        "records": records,
        "seconds": round(asyncio.get_running_loop().time() - clock, 3),
        "cpu_us_per_record": round((cpu_seconds() - started) / records * 1e6, 1),
        "bytes_per_record": round((sum(replicas.bytes_sent()) - before) / records),
    }


METRICS = "".join(
    f"# TYPE {name} gauge\n{name} 3\n"
    for name in (
        "vllm:num_requests_running",
        "vllm:num_requests_waiting",
        "sampler:weight_version",
        "sampler:leaving",
    )
)
STREAM_EVENTS = 20_000
TOKENS_PER_EVENT = 8


async def _serve(app: web.Application) -> tuple[web.AppRunner, str]:
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    assert site._server is not None
    port = site._server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
    return runner, f"127.0.0.1:{port}"


async def _measure_polls(count: int) -> dict[str, Any]:
    """One look at a back end's load report, both ends in this process."""

    async def metrics(_request: web.Request) -> web.Response:
        return web.Response(text=METRICS)

    app = web.Application()
    app.router.add_get("/metrics", metrics)
    runner, address = await _serve(app)
    async with aiohttp.ClientSession() as session:
        started = cpu_seconds()
        for _ in range(count):
            assert await fetch_load_report(session, address, 5.0) is not None
        spent = cpu_seconds() - started
    await runner.cleanup()
    return {"count": count, "cpu_us": round(spent / count * 1e6, 1)}


async def _measure_stream() -> dict[str, Any]:
    """Reading a sampler's stream, both ends in this process; the sending end is encoded once."""
    event = {
        "id": "trainer/1/1",
        "object": "text_completion",
        "weight_version": 7,
        "choices": [
            {
                "index": 0,
                "text": "",
                "token_ids": list(range(20_000, 20_000 + TOKENS_PER_EVENT)),
                "finish_reason": None,
            }
        ],
    }
    line = b"data: " + msgspec.json.encode(event) + b"\n\n"
    event["choices"][0]["finish_reason"] = "stop"  # type: ignore[index]
    last = b"data: " + msgspec.json.encode(event) + b"\n\n"

    async def stream(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for _ in range(STREAM_EVENTS - 1):
            await response.write(line)
        await response.write(last)
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", stream)
    runner, address = await _serve(app)
    async with aiohttp.ClientSession() as session:
        client = SamplerClient(session, 10.0)
        started = cpu_seconds()
        outcome = await read_stream(client, address, CompletionRequest("r", "p", 10**6, [], 0))
        spent = cpu_seconds() - started
    await runner.cleanup()
    assert outcome.finished
    tokens = len(outcome.tokens)
    return {
        "tokens": tokens,
        "tokens_per_event": TOKENS_PER_EVENT,
        "cpu_us_per_event": round(spent / STREAM_EVENTS * 1e6, 1),
        "cpu_us_per_1000_tokens": round(spent / tokens * 1e9, 1),
    }


def _measure_memory(count: int) -> dict[str, Any]:
    """Memory of one record on one replica."""
    _claim, answer = claim_and_answer()
    value = sample_value(1000)
    return {
        "request_record_bytes": _memory_of(count, answer),
        "sample_record_bytes": _memory_of(count // 10, value),
    }


def _memory_of(count: int, value: bytes) -> int:
    async def fill() -> None:
        for number in range(count):
            key = f"request/booking-app/{new_dated_id()}"
            copy = bytes(bytearray(value))
            message = Accept(0, 1, key, number + 1, replica_ballot, copy)
            await store.on_accept("client", message)

    replica_ballot = Ballot(2, "client@1")
    store = ReplicaStore("a@1", lambda _set: None)
    store.adopt(ReplicaSet(0, 1, ["a@1"], founded=True))
    tracemalloc.start()
    before, _peak = tracemalloc.get_traced_memory()
    coroutine = fill()
    try:
        coroutine.send(None)
    except StopIteration:
        pass
    after, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round((after - before) / count)
