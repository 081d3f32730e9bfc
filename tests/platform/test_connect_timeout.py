"""A call whose connection was never opened was not sent, so nothing was done.

A listener whose queue of new connections is full, or a machine without power, neither accepts nor
refuses a connection. The HTTP library then reports a connection timeout, which is not the error
that it reports for a refused connection. If a client takes it for a lost answer, its caller must
assume that the call may have been done, and may not simply call again.
"""

import socket

import pytest
from crankseam_platform.duty_calls import DutyClient
from crankseam_platform.store import PlatformStore

from crankseam.coordination.duty import DutyRefused
from crankseam.coordination.interface import Put, Transaction
from crankseam.coordination.peer_http import PeerClient
from crankseam.errors import KeyValueUnavailable
from crankseam.scaling.model import Kind, Order


@pytest.fixture
def silent_address():
    """Address of a listener whose queue of new connections is full: connections to it hang."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = listener.getsockname()
    queued = []
    for _ in range(4):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(address)
        queued.append(connection)
    yield f"{address[0]}:{address[1]}"
    for connection in queued:
        connection.close()
    listener.close()


async def test_a_write_to_the_store_that_found_no_connection_was_not_done(silent_address):
    client = PlatformStore(silent_address)
    await client.start()
    with pytest.raises(KeyValueUnavailable):
        await client.commit(Transaction(puts=[Put("k", b"1")]))
    await client.close()


async def test_a_peer_that_found_no_connection_did_nothing(silent_address):
    client = PeerClient()
    await client.start()
    with pytest.raises(KeyValueUnavailable):
        await client.call("/path", silent_address, b"", 5.0)
    await client.close()


async def test_an_order_of_samplers_that_found_no_connection_was_not_given(silent_address):
    client = DutyClient(silent_address)
    await client.start()
    with pytest.raises(DutyRefused):
        await client.order_samplers(Order("s", "z", Kind.SPOT, 1, "test"), "n", 1)
    await client.close()
