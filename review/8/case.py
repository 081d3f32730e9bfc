"""A stopping front refuses a job as not run after its items have run (REFUSED)."""

import asyncio
import signal
import time
from pathlib import Path

from rig2 import BROKEN, HELD, NOT_RUN, Rig, Sampler, has_trouble, item, run_case

JOB = "7c41e09b52d6a3f8"
ITEMS = 16
DOWN_S = 4.5
"""Length of the outage of the platform's store; it answers 503 (`platform_down`, busy)."""
STOP_AT_S = 1.0
DEADLINE_S = 4.0
"""Time that the client has; a refusal comes 0.3 s before it, too late for a second attempt."""
WATCH_S = 8.0
PROMISES = (408, 421, 429, 503)


async def case() -> int:
    rig = Rig(Path(__file__).parent)
    rig.samplers = [Sampler(rig, f"i-{number}") for number in range(6)]
    async with rig:
        await rig.start()
        front = await owner_of_model(rig)
        if front is None:
            return NOT_RUN
        rig.runs.clear()
        rig.store.faults.down = True
        rig.record.note("the store answers 503")
        down_at = time.monotonic()
        items = [item(f"e{number}") for number in range(ITEMS)]
        sent = asyncio.create_task(rig.submit(front, JOB, items, 0.0, DEADLINE_S))
        await asyncio.sleep(STOP_AT_S)
        if has_trouble():
            front.signal(signal.SIGTERM)
        got = await sent
        await asyncio.sleep(max(0.0, down_at + DOWN_S - time.monotonic()))
        rig.store.faults.down = False
        rig.record.note("the store is back")
        await asyncio.sleep(WATCH_S)
        begun = {run.id for run in rig.runs}
        rig.record.note(f"the only attempt: {got.status}; {len(begun)} of {ITEMS} items began to run")
        return BROKEN if got.status in PROMISES and begun else HELD


async def owner_of_model(rig):
    """The front that runs the model's jobs: a job before tells it."""
    first = "00aa11bb22cc33dd"
    if (await rig.submit(rig.fronts[0], first, [item("f0")])).status != 202:
        return None
    owner = rig.store.entries[f"crankseam/state/owner/{first}"].value.decode()
    await asyncio.sleep(2.5)
    await rig.call(rig.fronts[0], "DELETE", f"/v1/lots/{first}")
    await asyncio.sleep(1.0)
    return next(front for front in rig.fronts if front.name == owner)


run_case(case)
