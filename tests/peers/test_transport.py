"""Encoding of frames, calls over connections, and handling of invalid bytes from a peer."""

import asyncio
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankseam.errors import FrameError, PeerTimeout, PeerUnreachable
from crankseam.peers.messages import Done, Frame, Hello, Nudge, decode_frame, encode_frame
from crankseam.peers.transport import PeerTransport, read_frame


@pytest.fixture
async def server():
    transport = PeerTransport("server", 1)
    port = await transport.listen("127.0.0.1", 0)
    yield transport, f"127.0.0.1:{port}"
    await transport.close()


@pytest.fixture
async def client():
    transport = PeerTransport("client", 1)
    yield transport
    await transport.close()


async def test_answers_find_their_calls_in_any_order(server, client):
    transport, address = server

    async def answer(_peer, message):
        await asyncio.sleep(0.05 if message.revision == 1 else 0)
        return Nudge(message.revision * 10)

    transport.handle(Nudge, answer)
    answers = await asyncio.gather(*(client.call(address, Nudge(n), 5.0) for n in (1, 2, 3)))
    assert [a.revision for a in answers] == [10, 20, 30]


async def test_a_handler_that_fails_is_a_typed_refusal(server, client):
    transport, address = server

    async def fail(_peer, _message):
        raise ZeroDivisionError

    transport.handle(Nudge, fail)
    with pytest.raises(PeerUnreachable, match="ZeroDivisionError"):
        await client.call(address, Nudge(1), 5.0)


async def test_silence_is_a_timeout_and_a_closed_port_is_unreachable(server, client):
    transport, address = server

    async def silent(_peer, _message):
        return None

    transport.handle(Nudge, silent)
    with pytest.raises(PeerTimeout):
        await client.call(address, Nudge(1), 0.05)
    await transport.close()
    with pytest.raises(PeerUnreachable):
        await client.call("127.0.0.1:1", Nudge(1), 5.0)


@settings(max_examples=300)
@given(st.binary(max_size=300))
def test_any_bytes_are_a_frame_or_a_typed_error(content):
    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data(content)
        reader.feed_eof()
        return await read_frame(reader)

    try:
        asyncio.run(read())
    except (FrameError, asyncio.IncompleteReadError):
        pass


async def test_a_frame_too_large_is_refused_before_it_is_read():
    reader = asyncio.StreamReader()
    reader.feed_data(struct.pack(">I", 2**31))
    with pytest.raises(FrameError):
        await read_frame(reader)


async def test_garbage_ends_the_connection_and_nothing_else(server, client):
    transport, address = server

    async def answer(_peer, _message):
        return Done()

    transport.handle(Nudge, answer)
    host, _, port = address.rpartition(":")
    for garbage in (b"GET / HTTP/1.1\r\n\r\n", encode_frame(Frame(1, False, Nudge(1)))):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(garbage)
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        writer.close()
    assert isinstance(await client.call(address, Nudge(1), 5.0), Done)


def test_a_frame_comes_back_as_it_was():
    frame = Frame(7, True, Hello("node", 3))
    assert decode_frame(encode_frame(frame)[4:]) == frame
