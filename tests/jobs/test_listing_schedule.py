import asyncio
import math
import time

import msgspec
import pytest

from crankseam.jobs import listing_schedule
from crankseam.jobs.listing_schedule import ListingSchedule
from tests.jobs.factories import make_job

LONG_S = 1000.0


def job_of(*groups, desired=0):
    job = make_job(items=len(groups))
    items = [
        msgspec.structs.replace(item, group=group)
        for item, group in zip(job.items, groups, strict=True)
    ]
    return msgspec.structs.replace(job, items=items, desired=desired)


async def wait_returns(schedule):
    """Whether the schedule's wait returns within 0.2 s."""
    waiting = asyncio.create_task(schedule.wait())
    done, _ = await asyncio.wait({waiting}, timeout=0.2)
    waiting.cancel()
    return bool(done)


@pytest.fixture(autouse=True)
def listing_delays(monkeypatch):
    monkeypatch.setattr(listing_schedule, "MAX_LISTING_DELAY_S", LONG_S)
    monkeypatch.setattr(listing_schedule, "GROUP_LISTING_DELAY_S", 0.01)


async def test_a_group_by_which_no_step_ends_is_not_listed_by_itself():
    schedule = ListingSchedule(job_of("a", "b", "c", desired=2), set(), math.inf)
    schedule.finished("a")
    assert not await wait_returns(schedule)
    schedule.finished("b")
    assert await wait_returns(schedule), "these two groups can end the step"


async def test_later_groups_are_listed_as_they_become_whole():
    """Any further group may be the one that the trainer still waits for."""
    schedule = ListingSchedule(job_of("a", "b", "b", desired=1), set(), math.inf)
    schedule.finished("a")
    assert await wait_returns(schedule)
    schedule.finished("b")
    assert not await wait_returns(schedule)
    schedule.finished("b")
    assert await wait_returns(schedule)


async def test_what_was_listed_before_counts():
    job = job_of("a", "b", "c", desired=2)
    schedule = ListingSchedule(job, {job.items[0].id}, math.inf)
    schedule.finished("b")
    assert await wait_returns(schedule)


async def test_once_it_is_due_each_group_is_listed():
    schedule = ListingSchedule(job_of("a", "b", desired=2), set(), time.monotonic())
    schedule.finished("a")
    assert await wait_returns(schedule)


async def test_without_groups_each_result_is_listed_soon(monkeypatch):
    monkeypatch.setattr(listing_schedule, "UNGROUPED_LISTING_DELAY_S", 0.01)
    schedule = ListingSchedule(job_of("", "", ""), set(), math.inf)
    schedule.finished("")
    assert await wait_returns(schedule)


async def test_nothing_stays_unlisted_for_long(monkeypatch):
    monkeypatch.setattr(listing_schedule, "MAX_LISTING_DELAY_S", 0.05)
    schedule = ListingSchedule(job_of("a", "b", desired=2), set(), math.inf)
    schedule.finished("a")
    assert await wait_returns(schedule)
