"""Links between nodes that can be cut, one way or both, and slowed: a TCP relay before each node.

Each node calls from its own loopback address, so the relay knows who calls whom. A cut link
swallows bytes without closing, as a lost network does.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

CHUNK_BYTES = 64 * 1024
"""Read at a time."""


@dataclass
class Link:
    """State of one direction between two hosts."""

    cut: bool = False
    delay: float = 0.0


class LinkProxy:
    """All relays of a fleet."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []
        self._links: dict[tuple[str, str], Link] = {}
        self._hosts: dict[str, str] = {}
        self._pipes: set[asyncio.Task[None]] = set()

    async def open(self, name: str, host: str, proxy_port: int, peer_port: int) -> None:
        """Relay host:proxy_port to the node at host:peer_port."""
        self._hosts[name] = host

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            caller = writer.get_extra_info("peername")[0]
            try:
                upstream = await asyncio.open_connection(host, peer_port)
            except OSError:
                writer.close()  # the node is down: its caller sees a closed connection
                return
            there = asyncio.create_task(self._pipe(reader, upstream[1], caller, host))
            back = asyncio.create_task(self._pipe(upstream[0], writer, host, caller))
            for task in (there, back):
                self._pipes.add(task)
                task.add_done_callback(self._pipes.discard)

        self._servers.append(await asyncio.start_server(serve, host, proxy_port))

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        link = self._link(source, target)
        try:
            while data := await reader.read(CHUNK_BYTES):
                if link.delay:
                    await asyncio.sleep(link.delay)
                if not await self._wait_while_cut(link, writer):
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # one end is gone, or the run is over: the other end is closed below
        finally:
            writer.close()

    @staticmethod
    async def _wait_while_cut(link: Link, writer: asyncio.StreamWriter) -> bool:
        """Hold bytes back while the link is cut; False once the connection is gone."""
        while link.cut:
            await asyncio.sleep(0.02)
            if writer.is_closing():
                return False
        return True

    def _link(self, source: str, target: str) -> Link:
        return self._links.setdefault((source, target), Link())

    def set_cut(self, source: str, target: str, cut: bool) -> None:
        """Cut or mend one direction between two nodes, by name."""
        self._link(self._hosts[source], self._hosts[target]).cut = cut

    def set_delay(self, source: str, target: str, delay: float) -> None:
        """Slow one direction down by `delay` seconds for each chunk."""
        self._link(self._hosts[source], self._hosts[target]).delay = delay

    def mend_all(self) -> None:
        """Undo all cuts and delays."""
        for link in self._links.values():
            link.cut = False
            link.delay = 0.0

    async def close(self) -> None:
        """Stop relaying."""
        for server in self._servers:
            server.close()
        for task in list(self._pipes):
            task.cancel()
