"""A foreign entry below `servers/` whose `zone` is a table, while a training step runs.

Three fronts, three samplers with two slots each, one job of six groups of four items. One second
after the job was accepted, an entry of another writer appears for each service. The check is LOST
of batch jobs.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections import Counter
from pathlib import Path
from typing import Any

from crankseam_platform_standins.sampler_server import SamplerServer
from rig import ZONES, Answer, Deployment, Record, call, entry, is_troubled, main

SERVICE, APP_SERVICE, MODEL = "notes-llm", "order-desk", "m0"
SAMPLERS, SLOTS, EVENTS, EVENT_S = 3, 2, 17, 0.06
GROUPS, GROUP_ITEMS = 6, 4
DUE_S = 7.5
"""`result_target_ms` of the site: all results are due."""
STEP_S = 16.0
"""When the trainer gives the step up: the client's 12 s and some more."""
ALONE_S = 5.0
"""Seconds of steady state at no sampler after which an unfinished item breaks LOST."""
FOREIGN_AFTER_S = 1.0
LOOK_S = 0.05
READ_S = 0.5
JOB = "7c41e09b52d6a3f8"
ORDER_S = 0.25
"""Between two orders, which are told in the record but not judged."""
FOREIGN = {
    "address": "127.0.0.1:9",
    "zone": {"name": ZONES[0], "region": "highveld"},
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}
"""The entry of another writer: `zone` is of another type, so it names no sampler to use."""


def foreign_entry(service: str) -> dict[str, Any]:
    """Return the entry of another writer that names a service."""
    return {"service": service, **FOREIGN}


def configuration() -> dict[str, Any]:
    """Return the operator's configuration."""

    def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": "depot.example",
            "path_prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout_ms": 10000,
            "target_latency_ms": 400,
            "max_attempts": 3,
            **more,
        }

    return {
        "version": 1,
        "routes": [
            route("drop-order", "/orders/", "safe", APP_SERVICE, timeout_ms=2000),
            route(
                "route-note", "/notes/", "rollout", SERVICE, result_target_ms=7500, max_queue_s=60
            ),
        ],
        "services": [{"name": SERVICE, "max_conns": 150}, {"name": APP_SERVICE, "max_conns": 96}],
        "limits": {},
    }


def job_body() -> bytes:
    """Return the submission of the job."""
    items = [
        {
            "id": f"item-{group}-{number}",
            "path": f"/notes/3/{group}{number}",
            "headers": {
                "Model": MODEL,
                "Token-Counts": "1016,17",
                "Prompt-Prefix": f"{group:x}a:1000,{group}{number}b:16",
            },
            "body": base64.b64encode(b"note").decode(),
            "tokens": 1033,
            "group": f"g{group}",
        }
        for group in range(GROUPS)
        for number in range(GROUP_ITEMS)
    ]
    job = {"step": 0, "model": MODEL, "min_version": 0, "desired": GROUPS - 1, "requests": items}
    return json.dumps(job).encode()


class Watch:
    """When each item was at a sampler, looked at every `LOOK_S` seconds."""

    def __init__(self, samplers: list[SamplerServer], items: list[str], record: Record) -> None:
        self._samplers, self._record = samplers, record
        self.finished: dict[str, float] = {}
        self.begun: dict[str, float] = {}
        self.alone_s = dict.fromkeys(items, 0.0)
        self.longest_alone_s = dict.fromkeys(items, 0.0)
        self._seen = 0

    async def run(self) -> None:
        """Look until cancelled."""
        last = self._record.now()
        while True:
            await asyncio.sleep(LOOK_S)
            now = self._record.now()
            self._note_changes(now)
            running = sum(sampler._running for sampler in self._samplers)
            counts = running < SAMPLERS * SLOTS / 2 and bool(self.begun)
            for item in self.alone_s:
                is_alone = item not in self.finished and not self._is_at_sampler(item)
                self.alone_s[item] = self.alone_s[item] + now - last if is_alone and counts else 0.0
                self.longest_alone_s[item] = max(self.longest_alone_s[item], self.alone_s[item])
            last = now

    def _note_changes(self, now: float) -> None:
        for sampler in self._samplers:
            for seen in sampler.ran:
                if seen.id not in self.begun:
                    self.begun[seen.id] = now
                    self._record.add(f"run: {seen.id} began at {sampler.instance}")
            for item in sampler.texts_whole_at:
                if item not in self.finished:
                    self.finished[item] = now
                    self._record.add(f"run: {item} finished at {sampler.instance}")

    def _is_at_sampler(self, item: str) -> bool:
        return item in self.begun and item not in self.finished


def note(record: Record, what: str, answer: Answer) -> None:
    """Tell an answer in the record."""
    record.add(f"answered: {what}: {answer.status or 'connection ended'} {answer.body[:100]!r}")


async def read_results(deployment: Deployment, record: Record, until: float) -> set[str]:
    """Read the job as the trainer does, at one front after the other."""
    read: dict[str, str] = {}
    turn = 0
    while record.now() < until and len(read) < GROUPS * GROUP_ITEMS:
        front = deployment.fronts[turn % len(deployment.fronts)]
        turn += 1
        answer = await call(
            front.callers, "GET", f"/v1/lots/{JOB}?after_rev={len(read)}", {"Wait-Ms": "1000"}
        )
        if answer.status == 200:
            for result in json.loads(answer.body)["results"]:
                read[result["id"]] = result["state"]
                record.add(f"read: {result['id']} {result['state']}")
        else:
            note(record, f"read at {front.name}", answer)
        await asyncio.sleep(READ_S)
    return {item for item, state in read.items() if state == "completed"}


async def send_orders(deployment: Deployment, record: Record) -> None:
    """Send orders to the fronts in turn, and tell in the record how they are answered."""
    answered: Counter[int] = Counter()
    try:
        while True:
            front = deployment.fronts[answered.total() % len(deployment.fronts)]
            headers = {"Request-Id": f"order-{answered.total()}", "Deadline-Ms": "2000"}
            answer = await call(front.callers, "POST", "/orders/1", headers, b"1000 l")
            answered[answer.status] += 1
            await asyncio.sleep(ORDER_S)
    finally:
        record.add(
            f"orders to {APP_SERVICE} after that moment, by status (not judged): {dict(answered)}"
        )


async def case(record: Record) -> bool:
    """Play the case; returns whether the rule held."""
    async with Deployment(record, fronts=3) as deployment:
        samplers = [
            SamplerServer(f"i-{number}", service=SERVICE, model=MODEL, slots=SLOTS, length=EVENTS)
            for number in range(SAMPLERS)
        ]
        apps = [
            SamplerServer(f"a-{number}", service=APP_SERVICE, slots=6, work_s=0.025)
            for number in range(2)
        ]
        for number, server in enumerate([*samplers, *apps]):
            server.faults.event_seconds = EVENT_S
            await server.start()
            model = MODEL if server in samplers else ""
            deployment.put(
                f"servers/{server.instance}",
                entry(server.service, server.address, ZONES[number % 3], server.slots, model),
            )
        deployment.put("op/config", configuration())
        await deployment.start_fronts()
        items = [
            f"item-{group}-{number}" for group in range(GROUPS) for number in range(GROUP_ITEMS)
        ]
        watch = Watch(samplers, items, record)
        watching = asyncio.create_task(watch.run())
        try:
            return await play(deployment, record, watch, apps)
        finally:
            watching.cancel()
            for server in [*samplers, *apps]:
                await server.stop()


async def play(
    deployment: Deployment, record: Record, watch: Watch, apps: list[SamplerServer]
) -> bool:
    """Submit the job, bring the foreign entries, and judge."""
    sent_at = record.now()
    record.add(f"sent: job {JOB} of {GROUPS * GROUP_ITEMS} items to {deployment.fronts[0].name}")
    headers = {"Request-Id": JOB, "Content-Type": "application/json"}
    accepted = await call(
        deployment.fronts[0].callers, "POST", "/notes/7c41e0", headers, job_body()
    )
    note(record, "job", accepted)
    if accepted.status != 202:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(FOREIGN_AFTER_S)
    if is_troubled():
        for service in (SERVICE, APP_SERVICE):
            deployment.put(f"servers/x-other-writer-{service}", foreign_entry(service))
            record.add(f"foreign entry below servers/: {json.dumps(foreign_entry(service))}")
    ordering = asyncio.create_task(send_orders(deployment, record))
    try:
        completed = await read_results(deployment, record, sent_at + STEP_S)
    finally:
        ordering.cancel()
    record.add(f"the step is over; {len(completed)} items were read as completed")
    broken = [
        item
        for item, seconds in watch.longest_alone_s.items()
        if item not in watch.finished and seconds >= ALONE_S
    ]
    for item in broken:
        alone_s = watch.longest_alone_s[item]
        record.add(f"LOST: {item} was at no sampler for {alone_s:.1f} s, never finished")
    record.add(
        f"items accepted {len(watch.alone_s)}, begun {len(watch.begun)}, "
        f"finished {len(watch.finished)}, LOST {len(broken)}"
    )
    return not broken


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
