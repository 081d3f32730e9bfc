"""The emulated sampler breaks its connections in the way that a terminated process does."""

import asyncio

import pytest
from crankseam_platform_standins.sampler_server import SamplerServer


async def test_a_crash_within_an_answer_without_length_resets_its_connection():
    """The close of the connection marks the end of such a response.

    If the emulated crash closed the connection in order, the response would look complete.
    """
    sampler = SamplerServer("i-0")
    await sampler.start()
    sampler.faults.unframed_reset = 1
    host, port = sampler.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n")
    await reader.readuntil(b"half")
    sampler.crash()
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()
    await sampler.stop()
