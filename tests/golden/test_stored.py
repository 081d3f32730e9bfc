"""Keys and bytes in the coordination store: writes match the golden files, which still decode."""

import json

import msgspec

from crankseam.coordination.interface import Put, Transaction
from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText
from crankseam.jobs.pace_sharing import PACE_PREFIX
from crankseam.jobs.repository import STATE_PREFIX, JobRepository
from crankseam.quarantine.model import SuspectRecord
from crankseam.quarantine.suspect_store import SuspectStore, decode_suspect
from crankseam.usage.reporter import LEDGER_KEY
from crankseam_standins.memory_store import MemoryStore
from tests.golden.compare import GOLDEN_FOLDER, check_golden
from tests.golden.samples import struct_sample
from tests.platform.deployment import Deployment
from tests.support.waiting import eventually

JOB = JobDefinition(
    id="job1",
    host="app.example",
    path="/job/x",
    items=[struct_sample(ItemDefinition)],
    step=3,
    model="m",
    min_version=2,
    desired=1,
    tenant="t",
    priority=4,
)
RESULT = struct_sample(ItemResult)
PARTIAL_TEXT = struct_sample(PartialText)
SUSPECT = struct_sample(SuspectRecord)


def held(store):
    """Return each entry of the store by key: its value in hex and whether it has a lease."""
    return {
        key: {"value": entry.value.hex(), "leased": bool(entry.lease)}
        for key, entry in sorted(store.entries.items())
    }


async def write_job_and_suspect(store):
    jobs = JobRepository(store, "front-1")
    lease, _ = await store.grant_lease(100.0)
    await jobs.create(JOB, lease, 1.5)
    await jobs.append("job1", 0, [RESULT])
    await jobs.save_progress("job1", {"item": PARTIAL_TEXT})
    await SuspectStore(store, STATE_PREFIX).add("f1", SUSPECT, 0, [])


async def test_keys_and_values_of_jobs_and_suspects():
    store = MemoryStore()
    await write_job_and_suspect(store)
    check_golden("stored_open_job.json", held(store))
    await JobRepository(store, "front-1").end("job1", "t")
    check_golden("stored_ended_job.json", held(store))


async def test_what_an_older_version_stored_is_read():
    text = (GOLDEN_FOLDER / "stored_open_job.json").read_text(encoding="utf-8")
    entries = json.loads(text)
    store = MemoryStore()
    for key, entry in entries.items():
        put = Put(key, bytes.fromhex(entry["value"]))
        await store.commit(Transaction(puts=[put]))
    loaded = await JobRepository(store, "front-2").load("job1")
    assert loaded.definition == JOB
    assert (
        loaded.chunks == [[RESULT]] and loaded.kept == {"item": PARTIAL_TEXT} and not loaded.ended
    )
    suspect = store.entries[STATE_PREFIX + "suspect/f1"]
    assert decode_suspect(suspect.value) == SUSPECT


FRONT_KEYS = [
    "crankseam/job/job1/head",
    "crankseam/job/job1/part/000",
    "crankseam/job/job1/result/000000",
    "crankseam/state/open/job1",
    "crankseam/state/owner/job1",
    "crankseam/state/process/front-1",
]


async def test_keys_that_a_front_writes_around_one_job():
    async with Deployment() as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        await deployment.submit(front, deadline_ms=5000)
        await deployment.all_results(front)
        await eventually(
            lambda: set(FRONT_KEYS) <= {change.key for change in deployment.store.log},
            "every key is written",
        )


def test_keys_that_are_built_from_constants():
    check_golden("key_prefixes.json", {"paces": PACE_PREFIX, "usage": LEDGER_KEY})
    assert msgspec.msgpack.decode(msgspec.msgpack.encode({"a": 1.5}), type=dict[str, float])
