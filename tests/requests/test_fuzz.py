"""Fuzz test of the callers' HTTP interface.

A malformed request must get a typed answer or a closed connection, never a status 500, and the node
must stay ready.
"""

import asyncio
import random

import pytest

from crankseam.identifiers import new_uuid7
from tests.support.harness import running_cluster

HEADERS = [
    "Idempotency-Key",
    "Request-Id",
    "Crankseam-Deadline-Ms",
    "Content-Length",
    "Transfer-Encoding",
    "Host",
    "Expect",
]
VALUES = ["", "0", "-1", "9" * 30, "x" * 5000, "\x7f", "é", "chunked", "100-continue", "a,b"]
PATHS = [
    "/services/booking/x",
    "/services/none/x",
    "/services/booking/../../operator/status",
    "/services/booking/%00%ff?a=%zz",
    "/trainers/trainer/steps",
    "/trainers/trainer/steps/x/samples?version=1&after=9-",
    "/trainers/none/steps/1/ack",
    "/operator/explain/" + "x" * 2000,
    "/weights/pool/1",
    "/" + "a" * 9000,
]
METHODS = ["GET", "POST", "PUT", "DELETE", "OPTIONS", "BREW"]
REQUESTS = 300


@pytest.fixture
async def cluster():
    async with running_cluster(nodes=1, apps=1) as running:
        yield running


def build(generator: random.Random) -> bytes:
    lines = [f"{generator.choice(METHODS)} {generator.choice(PATHS)} HTTP/1.1"]
    lines += [
        f"{generator.choice(HEADERS)}: {generator.choice([*VALUES, new_uuid7()])}"
        for _ in range(generator.randrange(5))
    ]
    raw = "\r\n".join([*lines, "Connection: close", "", ""]).encode("utf-8")
    body = generator.randbytes(generator.randrange(200))
    if generator.random() < 0.3:
        position = generator.randrange(len(raw))
        raw = raw[:position] + generator.randbytes(3) + raw[position:]
    return raw + body


async def send(port: int, content: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(content)
    writer.write_eof()
    try:
        return await reader.read(200)
    except ConnectionError:
        return b""
    finally:
        writer.close()


async def test_any_bytes_get_a_typed_answer_or_a_closed_connection(cluster):
    generator = random.Random(20261202)
    node = cluster.nodes[0]
    for _ in range(REQUESTS):
        content = build(generator)
        answer = await send(node.caller_port, content)
        assert not answer.startswith(b"HTTP/1.1 500"), content
    assert node.is_ready()
    assert node.admission.running == 0
