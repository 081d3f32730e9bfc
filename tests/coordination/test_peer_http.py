import pytest

from crankseam.coordination.peer_http import PeerClient, PeerListener
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable
from crankseam_standins.ports import free_port


async def fail(raw):
    raise RuntimeError("in the middle of the work")


async def echo(raw):
    return raw


@pytest.fixture
async def peer():
    address = f"127.0.0.1:{free_port()}"
    listener = PeerListener({"/fail": fail, "/echo": echo})
    await listener.start(address)
    client = PeerClient()
    await client.start()
    yield client, address
    await client.close()
    listener.close()


async def test_a_peer_that_failed_while_it_worked_may_have_done_it(peer):
    client, address = peer
    with pytest.raises(KeyValueOutcomeUnknown):
        await client.call("/fail", address, b"x", 2.0)


async def test_a_peer_that_does_not_serve_a_call_did_nothing(peer):
    client, address = peer
    assert await client.call("/echo", address, b"x", 2.0) == b"x"
    with pytest.raises(KeyValueUnavailable):
        await client.call("/other", address, b"x", 2.0)
