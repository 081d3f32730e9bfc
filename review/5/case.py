"""Items that wait for one service stay there when their route has moved to another one (LOST)."""

import asyncio
import json
import time
from pathlib import Path

from rig2 import BROKEN, HELD, LLM, NOT_RUN, Rig, Sampler, has_trouble, item, run_case

NEW_LLM = "kuvo77c"
JOB = "7c41e09b52d6a3f8"
ITEMS = 48
OLD_SLOTS, NEW_SLOTS = 8, 12
MOVE_AT_S, DRAIN_AT_S = 1.0, 4.0
"""The old sampler says `draining` 3 s after the new configuration: `config_apply_ms` is 2 s."""
LEAVE_AFTER_S = 5.0
"""`drain_ms` is 2 s; until then all that runs at the old sampler has ended."""
EVENTS, OLD_EVENT_S, NEW_EVENT_S = 35, 0.2, 0.05
STEP_S = 12.0
"""Time that the trainer gives the step: its deadline at the site."""


async def case() -> int:
    rig = Rig(Path(__file__).parent)
    old = [Sampler(rig, "i-0", LLM, OLD_SLOTS)]
    new = [Sampler(rig, f"n-{number}", NEW_LLM, NEW_SLOTS) for number in range(6)]
    rig.samplers = old + new
    for sampler in rig.samplers:
        sampler.events = EVENTS
        sampler.event_s = OLD_EVENT_S if sampler in old else NEW_EVENT_S
    async with rig:
        await rig.start()
        sent_at = time.monotonic()
        items = [item(f"e{number}") for number in range(ITEMS)]
        if (await rig.submit(rig.fronts[0], JOB, items)).status != 202:
            return NOT_RUN
        await asyncio.sleep(MOVE_AT_S)
        move_route(rig)
        rig.record.note(f"the operator moves the route to {NEW_LLM}")
        await asyncio.sleep(DRAIN_AT_S - MOVE_AT_S)
        if has_trouble():
            for sampler in old:
                rig.later(drain(rig, sampler))
        await asyncio.sleep(sent_at + STEP_S - time.monotonic())
        got = await rig.call(rig.fronts[1], "GET", f"/v1/lots/{JOB}?after_rev=0")
        return verdict(rig, got, new)


def move_route(rig) -> None:
    """What the operator writes: the next version, whose job route leads to the new service."""
    config = json.loads(rig.store.entries["op/config"].value)
    config["version"] += 1
    config["routes"][0]["service"] = NEW_LLM
    config["services"].append({"name": NEW_LLM, "health_path": "/health", "max_conns": 150})
    rig.put("op/config", config)


async def drain(rig, sampler) -> None:
    """A planned end: say so, serve on for `drain_ms` and a little longer, and leave."""
    sampler.state = "draining"
    sampler.announce()
    rig.record.note(f"{sampler.id} says draining")
    await asyncio.sleep(LEAVE_AFTER_S)
    rig.remove(f"servers/{sampler.id}")
    await sampler.stop()
    rig.record.note(f"{sampler.id} has left")


def verdict(rig, got, new) -> int:
    """Items that never began have been at no sampler for all of the step, longer than the 5 s."""
    if got.status != 200:
        return NOT_RUN
    done = {one["id"] for one in got.json()["results"]}
    begun = {run.id for run in rig.runs}
    names = [f"e{number}" for number in range(ITEMS)]
    idle = [name for name in names if name not in done and name not in begun]
    running = sum(sampler.running for sampler in new)
    rig.record.note(f"{len(done)} of {ITEMS} items are listed; never at a sampler: {idle}")
    rig.record.note(f"at the new service {running} of {sum(one.slots for one in new)} slots run")
    return BROKEN if idle and begun & set(names) and running * 2 < sum(one.slots for one in new) else HELD


run_case(case)
