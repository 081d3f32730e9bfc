"""HTTP server that records each request and sends a fixed response."""

import asyncio
import contextlib
import re


class RequestRecorder:
    """Listens on loopback inside `async with`; `requests` lists the requests as they arrived."""

    def __init__(self, status="200 OK", headers=(), body=b"{}"):
        self.requests = []
        head_lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
        self._response = "\r\n".join(head_lines).encode() + b"\r\n\r\n" + body
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length.group(1)) if length else 0)
                self.requests.append(self._mask_variable_parts(head + body.decode()))
                writer.write(self._response)
                await writer.drain()

    def _mask_variable_parts(self, text):
        """Mask what differs between runs: port, remaining deadline and library version."""
        text = text.replace(str(self.port), "PORT")
        text = re.sub(r"Deadline-Ms: \d+", "Deadline-Ms: TIME", text)
        return re.sub(r"(?i)user-agent: .*", "User-Agent: LIBRARY", text)
