import asyncio

import msgspec
import pytest

from crankseam.jobs.earlier_outputs import MAX_RETAINED_JOBS, EarlierOutputs, JobOutputs
from crankseam.jobs.model import ItemResult, PartialText
from tests.jobs.factories import events, make_job
from tests.jobs.test_service import all_results, cluster, short_deadline
from tests.support.waiting import eventually

__all__ = ["cluster"]


def again(job, job_id="j2", min_version=0):
    """A later job with the same items."""
    return msgspec.structs.replace(job, id=job_id, min_version=min_version)


def earlier_outputs(job, versions, finished_versions=None):
    outputs = JobOutputs(partial={job.items[0].id: PartialText(["a", "b"], versions)})
    if finished_versions is not None:
        result = ItemResult(job.items[1].id, True, "x\ny", finished_versions)
        outputs.finished[job.items[1].id] = result
    earlier = EarlierOutputs()
    earlier.keep(job, outputs)
    return earlier


def test_texts_of_an_item_that_comes_again_are_found():
    job = make_job()
    reusable = earlier_outputs(job, [3], [3, 4]).reusable_outputs(again(job), False)
    assert reusable.partial == {"j1-i0": PartialText(["a", "b"], [3])}
    assert list(reusable.finished) == ["j1-i1"]


@pytest.mark.parametrize(
    ("versions", "min_version", "single", "fits"),
    [
        ([3], 3, False, True),
        ([3], 4, False, False),
        ([3, 4], 3, False, True),
        ([3, 4], 4, False, False),
        ([3, 4], 3, True, False),
        ([4], 3, True, True),
        ([], 0, False, False),
    ],
)
def test_a_text_is_used_only_if_its_versions_fit_the_later_job(versions, min_version, single, fits):
    job = make_job()
    earlier = earlier_outputs(job, versions, versions)
    reusable = earlier.reusable_outputs(again(job, min_version=min_version), single)
    assert bool(reusable.partial) is fits
    assert bool(reusable.finished) is fits


def nothing_reusable(earlier, job):
    return earlier.reusable_outputs(job, False) == JobOutputs()


def test_an_item_with_another_body_or_model_shares_only_its_id():
    job = make_job()
    earlier = earlier_outputs(job, [3], [3])
    changed = [msgspec.structs.replace(item, body=b"other") for item in job.items]
    assert nothing_reusable(earlier, msgspec.structs.replace(again(job), items=changed))
    other_model = msgspec.structs.replace(again(job), model="other")
    assert nothing_reusable(earlier, other_model)


def test_the_later_run_does_not_change_what_is_kept():
    job = make_job()
    earlier = earlier_outputs(job, [3])
    earlier.reusable_outputs(again(job), False).partial["j1-i0"].clear()
    assert earlier.reusable_outputs(again(job), False).partial["j1-i0"].events == ["a", "b"]


def test_only_the_newest_jobs_are_kept():
    job = make_job()
    earlier = earlier_outputs(job, [3])
    for number in range(MAX_RETAINED_JOBS):
        earlier.keep(make_job(f"other{number}"), JobOutputs())
    assert earlier.reusable_outputs(again(job), False) == JobOutputs()


async def test_items_that_come_again_go_on_where_the_ended_job_stopped(cluster):
    store, samplers, start = cluster
    process = await start("a")
    samplers.scripts = [events(1, 4)]
    job = make_job()
    samplers.hold = asyncio.Event()
    await process.jobs.submit(job, short_deadline())
    results = await all_results(process.jobs, "j1", 1)
    running = process.jobs.running.runners["j1"]
    await eventually(lambda: len(running.outputs().partial) == 2)
    await process.jobs.end("j1")
    sent_before = len(samplers.attempts)
    samplers.hold.set()
    await process.jobs.submit(again(job), short_deadline())
    later = await all_results(process.jobs, "j2")
    assert results[0] in later
    sent = {(item_id, after) for _, item_id, after in samplers.attempts[sent_before:]}
    others = {item.id for item in job.items} - {results[0].id}
    assert sent == {(item_id, 2) for item_id in others}, "the finished item is not run again"
