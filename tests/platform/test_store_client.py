"""The client of the store against its stand-in: each response becomes a value or typed error."""

import pytest
from aiohttp import web
from crankseam_platform.store import PlatformStore
from crankseam_platform_standins.store_server import StoreServer

from crankseam.coordination.interface import (
    Condition,
    Entry,
    HistoryCompacted,
    LeaseExpired,
    Put,
    Removal,
    Transaction,
    TransactionConflict,
    read_prefix,
)
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueThrottled, KeyValueUnavailable
from crankseam_standins.memory_store import MemoryStore
from crankseam_standins.ports import free_port


@pytest.fixture
async def served():
    memory = MemoryStore()
    runner = web.AppRunner(StoreServer(memory).application, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = PlatformStore(f"127.0.0.1:{runner.addresses[0][1]}")
    await client.start()
    yield memory, client
    await client.close()
    await runner.cleanup()


async def test_what_is_written_is_read_ranged_and_watched(served):
    _, client = served
    value = b"\x00\xffany bytes"
    for number in range(5):
        await client.commit(Transaction(puts=[Put(f"a/{number}", value)]))
    assert (await client.get("a/1")).value == value
    assert await client.get("a/none") is None
    entries, revision = await read_prefix(client, "a/")
    assert [entry.key for entry in entries] == [f"a/{number}" for number in range(5)]
    await client.commit(Transaction(puts=[Put("a/9", b"")], removals=["a/0"]))
    seen = await client.watch("a/", revision, 1.0)
    assert {type(change) for change in seen.changes} == {Entry, Removal}


async def test_conflicts_leases_and_compaction_have_types(served):
    memory, client = served
    await client.commit(Transaction(puts=[Put("k", b"1")]))
    with pytest.raises(TransactionConflict) as conflict:
        await client.commit(Transaction([Condition("k", 0)], [Put("k", b"2")]))
    assert conflict.value.found["k"].value == b"1"
    lease, duration = await client.grant_lease(2.0)
    assert duration == 2.0 and await client.renew_lease(lease) == 2.0
    await client.end_lease(lease)
    with pytest.raises(LeaseExpired):
        await client.renew_lease(lease)
    with pytest.raises(LeaseExpired):
        await client.commit(Transaction(puts=[Put("k", b"", lease)]))
    memory.faults.compacted = True
    with pytest.raises(HistoryCompacted):
        await client.watch("k", 0, 0.1)


async def test_refused_is_not_unknown_and_unknown_is_not_refused(served):
    memory, client = served
    memory.faults.down = True
    with pytest.raises(KeyValueUnavailable):
        await client.commit(Transaction(puts=[Put("k", b"1")]))
    memory.faults.down = False
    memory.faults.lose_answers = 1
    with pytest.raises(KeyValueOutcomeUnknown):
        await client.commit(Transaction(puts=[Put("k", b"1")]))
    unreachable = PlatformStore(f"127.0.0.1:{free_port()}")
    await unreachable.start()
    with pytest.raises(KeyValueUnavailable):
        await unreachable.get("k")
    await unreachable.close()


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (429, b"", KeyValueThrottled),
        (503, b"", KeyValueUnavailable),
        (200, b"{half", KeyValueOutcomeUnknown),
    ],
)
async def test_odd_answers_have_types(status, body, error):
    async def answer(request):
        return web.Response(status=status, body=body)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = PlatformStore(f"127.0.0.1:{runner.addresses[0][1]}")
    await client.start()
    with pytest.raises(error):
        await client.commit(Transaction(puts=[Put("k", b"")]))
    await client.close()
    await runner.cleanup()
