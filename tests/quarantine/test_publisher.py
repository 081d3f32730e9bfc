import pytest

from crankseam.coordination.interface import Put, Transaction
from crankseam.quarantine.model import SuspectRecord
from crankseam.quarantine.suspect_store import SuspectMalformed, SuspectStore, decode_suspect
from crankseam_standins.memory_store import MemoryStore
from tests.quarantine.factories import (
    STATE_PREFIX,
    Process,
    make_identity,
    send,
    wait_known_everywhere,
)
from tests.support.waiting import eventually

FINGERPRINT = make_identity().fingerprint


@pytest.fixture
async def pair():
    store = MemoryStore()
    started = [Process(store), Process(store)]
    started[0].peers = [started[1]]
    for process in started:
        process.store = store
        await process.ready()
    yield started
    for process in started:
        await process.stop()


def end(process, back_end="b1"):
    tracker = process.tracker()
    send(tracker, ended=back_end)
    tracker.close()


async def test_while_the_store_is_away_peers_are_told_once_and_it_is_stored_later(pair):
    store = pair[0].store
    store.faults.down = True
    end(pair[0])
    await eventually(lambda: pair[1].knows(), "received by the peer")
    store.faults.down = False
    await eventually(lambda: STATE_PREFIX + "suspect/" + FINGERPRINT in store.entries, "stored")
    await eventually(lambda: pair[1].table.find(FINGERPRINT).revision > 0)
    assert pair[0].broadcast_count == 1


async def test_while_the_store_answers_nobody_is_told(pair):
    end(pair[0])
    await wait_known_everywhere(pair)
    assert pair[0].broadcast_count == 0


@pytest.mark.parametrize("fault", ["lose_answers", "late"])
async def test_a_write_without_an_answer_is_made_again_and_counts_once(pair, fault):
    store = pair[0].store
    setattr(store.faults, fault, 1)
    end(pair[0])
    await wait_known_everywhere(pair)
    store.release_late()
    await eventually(lambda: STATE_PREFIX + "suspect/" + FINGERPRINT in store.entries)
    record = decode_suspect(store.entries[STATE_PREFIX + "suspect/" + FINGERPRINT].value)
    assert record.ended == ["b1"] and record.probes == 0


async def test_ends_written_by_two_processes_at_once_are_all_kept(pair):
    end(pair[0], "b1")
    end(pair[1], "b2")
    await wait_known_everywhere(pair, crashes=2)


async def test_a_new_process_knows_what_those_before_it_wrote(pair):
    end(pair[0], "b1")
    end(pair[0], "b2")
    await wait_known_everywhere(pair, crashes=2)
    for process in pair:
        await process.stop()
    later = await Process(pair[0].store).ready()
    assert later.knows(crashes=2)
    await later.stop()


async def test_an_entry_that_cannot_be_read_is_skipped(pair):
    store = pair[0].store
    key = STATE_PREFIX + "suspect/odd"
    store.force(Transaction(puts=[Put(key, b"\xc1")]))
    end(pair[0])
    await wait_known_everywhere(pair)
    assert pair[1].table.find("odd") is None
    suspects = SuspectStore(store, STATE_PREFIX)
    record, _ = await suspects.add("odd", SuspectRecord(["b1"]), 0, [])
    assert record.ended == ["b1"]


def test_what_is_no_record_has_an_error_of_its_own():
    with pytest.raises(SuspectMalformed):
        decode_suspect(b"\xc1")


async def test_one_that_gives_way_leaves_the_store_too(pair, monkeypatch):
    monkeypatch.setattr("crankseam.quarantine.table.MAX_SUSPECTS", 2)
    identities = [make_identity(body=bytes([number])) for number in range(4)]
    for identity in identities:
        one = pair[0].tracker(identity)
        send(one, ended="b1")
        one.close()
        await wait_known_everywhere(pair, identity)
    keys = [key for key in pair[0].store.entries if "suspect" in key]
    assert sorted(keys) == sorted(
        f"{STATE_PREFIX}suspect/{one.fingerprint}" for one in identities[2:]
    )
