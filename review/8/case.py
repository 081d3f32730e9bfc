"""A request that crashes each sampler after its first event is never held back (BUDGET)."""

import asyncio
import time
from pathlib import Path

from rig2 import BROKEN, CONTACT_S, HELD, NOT_RUN, Rig, Sampler, has_trouble, item, run_case

DEADLY_BODY = b"this prompt ends the sampler that runs it"
ALLOWED_RETRIES = 3
"""Retries that the rule allows later than `contact_ms` after the third crash."""
WATCH_S = 25.0
EVENTS = 60
CRASHES_BEFORE = 3


async def case() -> int:
    rig = Rig(Path(__file__).parent)
    for number in range(6):
        sampler = Sampler(rig, f"i-{number}")
        sampler.events = EVENTS
        sampler.deadly = lambda run: has_trouble() and run.body == DEADLY_BODY
        sampler.deadly_events = 1
        rig.samplers.append(sampler)
    async with rig:
        await rig.start()
        items = [item(f"e{number}") for number in range(8)]
        items.append(item("deadly", DEADLY_BODY))
        if (await rig.submit(rig.fronts[0], "7c41e09b52d6a3f8", items)).status != 202:
            return NOT_RUN
        await asyncio.sleep(WATCH_S)
        got = await rig.call(rig.fronts[1], "GET", "/v1/lots/7c41e09b52d6a3f8?after_rev=0")
        return verdict(rig, got)


def verdict(rig, got) -> int:
    crashes = sorted(at for one in rig.samplers for at, cause in one.crashes if cause == "deadly")
    sends = [run for run in rig.runs if run.id == "deadly"]
    completed = len(got.json()["results"]) if got.status == 200 else -1
    rig.record.note(f"{len(crashes)} crashes, {len(sends)} sends, {completed} results listed")
    if len(crashes) < CRASHES_BEFORE:
        return HELD if not crashes and completed == 9 else NOT_RUN
    since = crashes[CRASHES_BEFORE - 1] + CONTACT_S
    late = [run for run in sends if run.at > since]
    rig.record.note(f"{len(late)} sends later than contact_ms after the third crash")
    return BROKEN if len(late) > ALLOWED_RETRIES else HELD


run_case(case)
