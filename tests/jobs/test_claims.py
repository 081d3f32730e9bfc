import asyncio
import time

from crankseam.coordination.interface import Put, Transaction
from crankseam.coordination.presence import PROCESS_PREFIX, live_capacities
from crankseam.coordination.ranking import rank_processes
from crankseam.jobs.repository import STATE_PREFIX
from tests.jobs.factories import make_job
from tests.jobs.test_service import all_results, cluster
from tests.support.waiting import eventually

__all__ = ["cluster"]


async def test_of_many_processes_the_first_in_rank_claims_and_the_others_ask_nothing(cluster):
    store, samplers, start = cluster
    names = [f"p{number}" for number in range(12)]
    processes = {name: await start(name) for name in names}
    for name in names:
        key = STATE_PREFIX + PROCESS_PREFIX + name
        store.force(Transaction(puts=[Put(key, b"1.1.1.1:1")]))
    await eventually(
        lambda: all(len(live_capacities(one.jobs.state)) == 12 for one in processes.values())
    )
    samplers.hold = asyncio.Event()
    job = make_job()
    owner = processes[rank_processes(job.model, names)[-1]]
    await owner.jobs.submit(job, time.monotonic() + 5.0)
    claims = []
    for name, process in processes.items():
        claim = process.jobs.claims._repository.claim

        async def recorded_claim(job_id, lease, name=name, claim=claim):
            claims.append(name)
            return await claim(job_id, lease)

        process.jobs.claims._repository.claim = recorded_claim
    await owner.kill()
    store.expire_lease(owner.jobs.lease.number)
    await eventually(lambda: claims, "a claim")
    await asyncio.sleep(0.6)
    samplers.hold.set()
    assert claims == rank_processes(job.model, names)[:1]
    assert len(await all_results(processes[claims[0]].jobs)) == 3


async def test_who_runs_open_jobs_is_known_to_all_until_its_key_goes(cluster):
    """Only owners of open jobs share the request rate of a cold back end.

    When the rate was shared among all processes, most of them had nothing to send.
    """
    store, samplers, start = cluster
    owner, other = await start("a"), await start("b")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), time.monotonic() + 5.0)
    await eventually(lambda: other.jobs.claims.owners() == {"a"}, "the owner is known")
    samplers.hold.set()
    await owner.kill()
    store.expire_lease(owner.jobs.lease.number)
    await eventually(lambda: other.jobs.claims.owners() == {"b"}, "the next owner is known")
