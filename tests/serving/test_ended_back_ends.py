import asyncio

import pytest

from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.ended_back_ends import EndedBackEnds

RECORD = BackEndRecord("b1", "svc", "127.0.0.1:9000", "z", 4)
LEAVING = BackEndRecord("b1", "svc", "127.0.0.1:9000", "z", 4, leaving=True)


class ScriptedProbe:
    """Returns a result that the test sets, and counts the calls."""

    def __init__(self, refuses):
        self.refuses = refuses
        self.calls = 0

    async def refuses_connections(self, back_end):
        self.calls += 1
        await asyncio.sleep(0)
        return self.refuses


@pytest.fixture
def registry():
    registry = BackEndRegistry()
    registry.update(RECORD)
    return registry


async def test_one_that_refuses_connections_has_ended_and_is_probed_once(registry):
    probe = ScriptedProbe(refuses=True)
    ended_back_ends = EndedBackEnds(registry, probe)
    back_end = registry.by_id("b1")
    assert (
        await asyncio.gather(*(ended_back_ends.has_ended(back_end) for _ in range(12)))
        == [True] * 12
    )
    assert await ended_back_ends.has_ended(back_end) and back_end.has_ended
    assert probe.calls == 1


async def test_one_that_accepts_connections_has_not_ended_and_is_probed_again(registry):
    probe = ScriptedProbe(refuses=False)
    ended_back_ends = EndedBackEnds(registry, probe)
    assert not await ended_back_ends.has_ended(registry.by_id("b1"))
    probe.refuses = True
    assert await ended_back_ends.has_ended(registry.by_id("b1"))


@pytest.mark.parametrize("is_gone", [True, False])
async def test_one_that_leaves_or_is_gone_ended_as_planned(registry, is_gone):
    back_end = registry.by_id("b1")
    if is_gone:
        registry.remove("b1")
    else:
        registry.update(LEAVING)
    ended_back_ends = EndedBackEnds(registry, ScriptedProbe(refuses=True))
    ended_back_ends.record_replacement(back_end)
    assert not await ended_back_ends.has_ended(back_end) and not back_end.has_ended


async def test_another_one_at_its_address_shows_that_it_ended(registry):
    ended_back_ends = EndedBackEnds(registry, ScriptedProbe(refuses=False))
    back_end = registry.by_id("b1")
    ended_back_ends.record_replacement(back_end)
    assert await ended_back_ends.has_ended(back_end)


async def test_a_cancelled_request_does_not_cancel_the_probe_of_others(registry):
    ended_back_ends = EndedBackEnds(registry, ScriptedProbe(refuses=True))
    back_end = registry.by_id("b1")
    first = asyncio.create_task(ended_back_ends.has_ended(back_end))
    second = asyncio.create_task(ended_back_ends.has_ended(back_end))
    await asyncio.sleep(0)
    first.cancel()
    assert await second
