import asyncio

import pytest

from crankseam.coordination import process_lease
from crankseam.coordination.interface import Put, Transaction
from crankseam.coordination.process_lease import (
    IDLE_LEASE_S,
    LEASE_S,
    ProcessLease,
)
from crankseam.errors import KeyValueUnavailable
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually


async def test_a_lapsed_lease_is_replaced_and_said():
    store, new = MemoryStore(), []
    lease = ProcessLease(store)
    lease.on_new.append(new.append)
    task = asyncio.create_task(lease.run())
    await eventually(lambda: lease.is_held())
    first = lease.number
    store.expire_lease(first)
    await eventually(lambda: lease.number not in (0, first))
    assert new == [first, lease.number]
    task.cancel()


async def test_the_holder_gives_up_before_the_store_takes_back():
    store = MemoryStore()
    lease = ProcessLease(store)
    task = asyncio.create_task(lease.run())
    await eventually(lambda: lease.is_held())
    store.faults.down = True
    await eventually(lambda: not lease.is_held())
    assert lease.number in store._leases, "the store must not have ended it yet"
    task.cancel()


async def test_recovery_is_said_and_the_end_removes_the_keys():
    store, recovered = MemoryStore(), []
    lease = ProcessLease(store)
    lease.on_recovered.append(lambda: recovered.append(1))
    task = asyncio.create_task(lease.run())
    await eventually(lambda: lease.is_held())
    store.faults.down = True
    await eventually(lambda: lease._failing)
    store.faults.down = False
    await eventually(lambda: bool(recovered))
    await eventually(lambda: lease.is_held())
    await store.commit(Transaction(puts=[Put("k", b"", lease.number)]))
    task.cancel()
    await lease.end()
    assert "k" not in store.entries and not lease.is_held()


async def test_an_idle_lease_is_long_and_a_short_one_is_won_before_others_rely_on_it():
    store, new = MemoryStore(), []
    lease = ProcessLease(store)
    lease.on_new.append(new.append)
    task = asyncio.create_task(lease.run())
    await eventually(lambda: lease.is_held())
    idle = lease.number
    assert store._leases[idle][1] == IDLE_LEASE_S
    number = await lease.ensure()
    assert number != idle and store._leases[number][1] == LEASE_S
    assert await lease.ensure() == number and new == [idle, number]
    await asyncio.sleep(LEASE_S + 0.3)
    assert lease.number == number and lease.is_held(), "the first renewal must already be in time"
    task.cancel()


async def test_a_process_that_others_rely_on_wins_a_short_lease():
    store, relied_on = MemoryStore(), []
    lease = ProcessLease(store)
    lease.reliance_checks.append(lambda: bool(relied_on))
    await lease._renew_once()
    idle = lease.number
    await lease._renew_once()
    assert lease.number == idle
    relied_on.append(1)
    await lease._renew_once()
    assert lease.number != idle and store._leases[lease.number][1] == LEASE_S


async def test_no_lease_is_won_after_the_planned_end(monkeypatch):
    monkeypatch.setattr("crankseam.coordination.process_lease.RENEW_S", 0.01)
    monkeypatch.setattr("crankseam.coordination.process_lease.IDLE_RENEW_S", 0.01)
    store, new = MemoryStore(), []
    lease = ProcessLease(store)
    lease.on_new.append(new.append)
    task = asyncio.create_task(lease.run())
    await eventually(lambda: lease.is_held())
    await lease.end()
    await asyncio.sleep(0.1)
    assert not lease.is_held() and len(new) == 1 and lease.is_ended
    with pytest.raises(KeyValueUnavailable):
        await lease.ensure()
    task.cancel()


async def test_a_lease_on_which_nothing_hangs_is_renewed_less_often(monkeypatch):
    monkeypatch.setattr("crankseam.coordination.process_lease.RENEW_S", 0.01)
    monkeypatch.setattr("crankseam.coordination.process_lease.IDLE_RENEW_S", 1000.0)
    store = MemoryStore()
    renewals = []
    renew = store.renew_lease

    async def counted(lease):
        renewals.append(lease)
        return await renew(lease)

    monkeypatch.setattr(store, "renew_lease", counted)
    for relied_on in (True, False):
        lease = ProcessLease(store)
        lease.reliance_checks.append(lambda relied_on=relied_on: relied_on)
        task = asyncio.create_task(lease.run())
        await eventually(lease.is_held)
        if relied_on:
            await eventually(lambda: len(renewals) > 3)
        else:
            before = len(renewals)
            await asyncio.sleep(0.2)
            assert len(renewals) == before
        task.cancel()


async def test_a_short_lease_outlasts_a_way_that_fails_for_a_while(monkeypatch):
    """A short lease must be retried soon after a failed renewal.

    Calls that the store refuses soon go through a peer, so a retry can succeed before the lease
    expires.
    """
    monkeypatch.setattr(process_lease, "RENEW_S", 1000.0)
    monkeypatch.setattr(process_lease, "RETRY_S", 0.02)
    store = MemoryStore()
    lease = ProcessLease(store)
    lease.reliance_checks.append(lambda: True)
    await lease.ensure()
    store.faults.down = True
    task = asyncio.create_task(lease.run())
    await eventually(lambda: lease._failing)
    store.faults.down = False
    await eventually(lambda: not lease._failing, "a retry before the next regular renewal")
    task.cancel()
