import asyncio
import math
import time

import msgspec
import pytest

from crankseam.jobs import listing_moments
from crankseam.jobs.listing_moments import ListingMoments
from tests.jobs.factories import make_job

LONG_S = 1000.0


def job_of(*groups, desired=0):
    job = make_job(items=len(groups))
    items = [
        msgspec.structs.replace(item, group=group)
        for item, group in zip(job.items, groups, strict=True)
    ]
    return msgspec.structs.replace(job, items=items, desired=desired)


async def returns(moments):
    """Whether the wait ends by itself within moments."""
    waiting = asyncio.create_task(moments.wait())
    done, _ = await asyncio.wait({waiting}, timeout=0.2)
    waiting.cancel()
    return bool(done)


@pytest.fixture(autouse=True)
def seldom(monkeypatch):
    monkeypatch.setattr(listing_moments, "SELDOM_LISTED_S", LONG_S)
    monkeypatch.setattr(listing_moments, "GROUP_LISTED_S", 0.01)


async def test_a_group_by_which_no_step_ends_is_not_listed_by_itself():
    moments = ListingMoments(job_of("a", "b", "c", desired=2), set(), math.inf)
    moments.finished("a")
    assert not await returns(moments)
    moments.finished("b")
    assert await returns(moments), "the step may end by these two"


async def test_later_groups_are_listed_as_they_become_whole():
    """Whichever the trainer waits for may be among them."""
    moments = ListingMoments(job_of("a", "b", "b", desired=1), set(), math.inf)
    moments.finished("a")
    assert await returns(moments)
    moments.finished("b")
    assert not await returns(moments)
    moments.finished("b")
    assert await returns(moments)


async def test_what_was_listed_before_counts():
    job = job_of("a", "b", "c", desired=2)
    moments = ListingMoments(job, {job.items[0].id}, math.inf)
    moments.finished("b")
    assert await returns(moments)


async def test_once_it_is_due_each_group_is_listed():
    moments = ListingMoments(job_of("a", "b", desired=2), set(), time.monotonic())
    moments.finished("a")
    assert await returns(moments)


async def test_without_groups_each_result_is_listed_soon(monkeypatch):
    monkeypatch.setattr(listing_moments, "SINGLE_LISTED_S", 0.01)
    moments = ListingMoments(job_of("", "", ""), set(), math.inf)
    moments.finished("")
    assert await returns(moments)


async def test_nothing_stays_unlisted_for_long(monkeypatch):
    monkeypatch.setattr(listing_moments, "SELDOM_LISTED_S", 0.05)
    moments = ListingMoments(job_of("a", "b", desired=2), set(), math.inf)
    moments.finished("a")
    assert await returns(moments)
