"""Emulator of an inference engine: continuous batching, prefix cache, priorities, fenced orders.

Holds the engine's queue, its running sequences and the versions of its weights. Step times are
assumptions (see `sampler_parameters`), divided by the time scale. A sample is a function of its
prompt, so that the auditor can check each token. The samplers of the users' platform have a
separate stand-in with another protocol and no engine:
`crankseam_platform_standins.sampler_server`.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import math
import random
import time
from collections import deque
from dataclasses import dataclass, field

import aiohttp
import msgspec
from aiohttp import web

from crankseam_standins.account import Account
from crankseam_standins.faults import FaultOrder, Faults
from crankseam_standins.prefix_cache import PrefixCache
from crankseam_standins.sampler_parameters import SamplerParameters

VOCABULARY = 50_000
"""Token ids are integers from 0 up to, but not including, this number."""
MIN_SLEEP_S = 0.001
"""Steps shorter than this accumulate into one sleep."""
UNLIMITED_TOKENS = 1_000_000
"""A number of tokens larger than the length of any sample."""


def sample_length(parameters: SamplerParameters, prompt: str, max_tokens: int) -> int:
    """Return the sample length in tokens for a prompt of the form `group|rest`.

    The same prompt always gives the same length. `max_tokens` limits the whole sample.
    """
    group, _, _ = prompt.partition("|")
    group_random = random.Random(f"group {group}")
    own_random = random.Random(f"prompt {prompt}")
    scale = group_random.gauss(0.0, parameters.length_sigma)
    spread = own_random.gauss(0.0, parameters.group_sigma)
    length = parameters.median_length * math.exp(scale + spread)
    return max(1, min(max_tokens, round(length)))


def token_at(prompt: str, position: int) -> int:
    """Return the token at a position of the sample for a prompt, for generation and checking."""
    digest = hashlib.blake2b(f"{prompt}/{position}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % VOCABULARY


@dataclass(eq=False)
class Sequence:
    """One completion that is queued or being generated."""

    request_id: str
    prompt: str
    priority: int
    position: int
    length: int
    arrival_number: int
    events: asyncio.Queue = field(default_factory=asyncio.Queue)
    pending: list[int] = field(default_factory=list)
    pending_version: int = 0
    finish_reason: str = "stop"
    prefill_tokens: int = 0
    cancelled: bool = False


class SamplerStandin:
    """One emulated inference engine with its HTTP interface."""

    def __init__(
        self, name: str, parameters: SamplerParameters, version: int, account: Account
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.faults.on_order = self._on_fault_order
        self._parameters = parameters
        self.serving = version
        self._loaded = [version]
        self._loading: int | None = None
        self._fence = 0
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._arrival_numbers = itertools.count()
        self._wake = asyncio.Event()
        self._cache = PrefixCache(
            parameters.kv_tokens // parameters.prefix_block // 2, parameters.prefix_block
        )
        self._load_history: deque[tuple[float, int, int]] = deque(maxlen=1000)
        self._paused_until = 0.0
        self._loop_task: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession
        self.account = account
        self.busy_seconds = 0.0
        self.tokens_made = 0
        self._started = time.time()

    def application(self) -> web.Application:
        """Return the HTTP application with all routes."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        self.faults.add_routes(app)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/admin/load", self._load)
        app.router.add_post("/admin/switch", self._switch)
        app.router.add_get("/admin/state", self._state)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/_account", self._report_state)
        app.on_startup.append(self._start)
        app.on_cleanup.append(self._stop)
        return app

    async def _start(self, _app: web.Application) -> None:
        self._session = aiohttp.ClientSession()
        self._loop_task = asyncio.create_task(self._run_engine())

    async def _stop(self, _app: web.Application) -> None:
        if self._loop_task is not None:
            self._loop_task.cancel()
        await self._session.close()

    def _scaled(self, seconds: float) -> float:
        return seconds / self._parameters.time_scale

    def _on_fault_order(self, order: FaultOrder) -> None:
        for sequence in self._running[: self.faults.break_streams]:
            sequence.cancelled = True
            sequence.events.put_nowait(None)
        self.faults.break_streams = 0

    # --- the engine's loop

    async def _run_engine(self) -> None:
        unslept_seconds = 0.0
        while True:
            if not self._running and not self._waiting:
                self._wake.clear()
                self._record_load()
                await self._wake.wait()
            pause = self._paused_until - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            self._admit()
            seconds = self._step()
            self.busy_seconds += seconds
            self._record_load()
            # Very short steps share one sleep, so that the scaled time is exact on average.
            unslept_seconds += self._scaled(seconds)
            if unslept_seconds >= MIN_SLEEP_S:
                before = time.monotonic()
                await asyncio.sleep(unslept_seconds)
                unslept_seconds -= time.monotonic() - before
            else:
                await asyncio.sleep(0)

    def _admit(self) -> None:
        self._waiting = [sequence for sequence in self._waiting if not sequence.cancelled]
        self._waiting.sort(key=lambda sequence: (sequence.priority, sequence.arrival_number))
        kv_tokens_used = sum(sequence.position for sequence in self._running)
        while self._waiting and len(self._running) < self._parameters.max_running:
            if kv_tokens_used + self._waiting[0].position >= self._parameters.kv_tokens:
                break
            sequence = self._waiting.pop(0)
            words = len(sequence.prompt.split()) + sequence.position
            cached = self._cache.cached_tokens(sequence.prompt)
            sequence.prefill_tokens = max(0, words - cached)
            self._running.append(sequence)

    def _step(self) -> float:
        """Advance every running sequence by one token; return the emulated duration in seconds."""
        parameters = self._parameters
        prefill = sum(sequence.prefill_tokens for sequence in self._running)
        seconds = prefill * parameters.prefill_per_token
        seconds += parameters.decode_step_fixed
        seconds += len(self._running) * parameters.decode_step_per_sequence
        still_running = []
        for sequence in self._running:
            sequence.prefill_tokens = 0
            if sequence.cancelled:
                continue
            self._emit(sequence)
            if sequence.position < sequence.length:
                still_running.append(sequence)
        self._running = still_running
        return seconds

    def _emit(self, sequence: Sequence) -> None:
        if sequence.pending and sequence.pending_version != self.serving:
            self._flush(sequence, finished=False)
        sequence.pending_version = self.serving
        sequence.pending.append(token_at(sequence.prompt, sequence.position))
        sequence.position += 1
        self.tokens_made += 1
        finished = sequence.position >= sequence.length
        if finished or len(sequence.pending) >= self._parameters.chunk_tokens:
            self._flush(sequence, finished)

    def _flush(self, sequence: Sequence, finished: bool) -> None:
        event = {
            "id": sequence.request_id,
            "object": "text_completion",
            "weight_version": sequence.pending_version,
            "choices": [
                {
                    "index": 0,
                    "text": "",
                    "token_ids": sequence.pending,
                    "finish_reason": sequence.finish_reason if finished else None,
                }
            ],
        }
        self.account.append(
            {
                "request": sequence.request_id,
                "prompt": sequence.prompt,
                "start": sequence.position - len(sequence.pending),
                "end": sequence.position,
                "version": sequence.pending_version,
                "at": time.time(),
            }
        )
        sequence.pending = []
        sequence.events.put_nowait(event)

    # --- completions

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self.account.append(
            {"arrived": body["request_id"], "leaving": self.faults.leaving, "at": time.time()}
        )
        if self.faults.leaving:
            return web.Response(status=503, headers={"Retry-After": "5"})
        prior = body.get("prior_token_ids", [])
        # max_tokens limits this completion; finish_reason tells a natural end from truncation.
        bound = len(prior) + body["max_tokens"]
        length = sample_length(self._parameters, body["prompt"], UNLIMITED_TOKENS)
        is_truncated = length > bound
        length = min(length, bound)
        sequence = Sequence(
            request_id=body["request_id"],
            prompt=body["prompt"],
            priority=body.get("priority", 0),
            position=min(len(prior), max(0, length - 1)),
            length=length,
            arrival_number=next(self._arrival_numbers),
            finish_reason="length" if is_truncated else "stop",
        )
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        self._waiting.append(sequence)
        self._wake.set()
        try:
            await self._stream(response, sequence)
        except ConnectionError:
            pass  # the caller disconnected; its sequence is cancelled below
        finally:
            sequence.cancelled = True
        return response

    @staticmethod
    async def _stream(response: web.StreamResponse, sequence: Sequence) -> None:
        while True:
            event = await sequence.events.get()
            if event is None:
                return
            await response.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
            if event["choices"][0]["finish_reason"]:
                await response.write(b"data: [DONE]\n\n")
                return

    # --- orders

    def _check_fence(self, fence: int) -> web.Response | None:
        if fence < self._fence:
            return web.json_response({"fence": self._fence}, status=409)
        self._fence = fence
        return None

    async def _load(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._check_fence(body["fence"])
        if refusal is not None:
            return refusal
        version = body["version"]
        if version in self._loaded:
            return web.json_response({})
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            return web.Response(status=500)
        self._loading = version
        try:
            async with self._session.get(body["source"]) as answer:
                if answer.status not in (200, 206):
                    return web.Response(status=502)
                await answer.read()
            await asyncio.sleep(self._scaled(self._parameters.load_seconds))
        except aiohttp.ClientError:
            return web.Response(status=502)
        finally:
            self._loading = None
        self._loaded = [*self._loaded[-1:], version]
        return web.json_response({})

    async def _switch(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._check_fence(body["fence"])
        if refusal is not None:
            return refusal
        if body["version"] not in self._loaded:
            return web.Response(status=400)
        if body["version"] != self.serving:
            pause = self._scaled(self._parameters.switch_seconds)
            self._paused_until = time.monotonic() + pause
            self.serving = body["version"]
        return web.json_response({})

    async def _state(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "serving": self.serving,
                "loaded": self._loaded,
                "loading": self._loading,
                "fence": self._fence,
            }
        )

    # --- reports

    def _record_load(self) -> None:
        self._load_history.append((time.monotonic(), len(self._running), len(self._waiting)))

    async def _metrics(self, _request: web.Request) -> web.Response:
        cutoff = time.monotonic() - self._parameters.report_lag
        running, waiting = 0, 0
        for at, running_then, waiting_then in reversed(self._load_history):
            if at <= cutoff:
                running, waiting = running_then, waiting_then
                break
        gauges = {
            "vllm:num_requests_running": running,
            "vllm:num_requests_waiting": waiting,
            "sampler:weight_version": self.serving,
            "sampler:leaving": int(self.faults.leaving),
        }
        text = "".join(f"# TYPE {k} gauge\n{k} {v}\n" for k, v in gauges.items())
        return web.Response(text=text)

    async def _report_state(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.name,
                "serving": self.serving,
                "busy_seconds": self.busy_seconds,
                "tokens": self.tokens_made,
                "seconds": time.time() - self._started,
            }
        )
