"""TCP relays in front of the nodes that cut or delay links between nodes, per direction.

Each node connects from its own loopback address, which identifies the source of a connection. A cut
link holds bytes back without closing the connection, as in a network partition.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

CHUNK_BYTES = 64 * 1024
"""Maximum number of bytes per read."""


@dataclass
class Link:
    """State of the link from one host to another: `delay` is in seconds per chunk."""

    cut: bool = False
    delay: float = 0.0


class LinkProxy:
    """TCP relays of all nodes of a fleet."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []
        self._links: dict[tuple[str, str], Link] = {}
        self._hosts: dict[str, str] = {}
        self._pipes: set[asyncio.Task[None]] = set()

    async def open(self, name: str, host: str, proxy_port: int, peer_port: int) -> None:
        """Start a relay from host:proxy_port to the node `name` at host:peer_port."""
        self._hosts[name] = host

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            caller = writer.get_extra_info("peername")[0]
            try:
                upstream = await asyncio.open_connection(host, peer_port)
            except OSError:
                writer.close()  # the node is down: the connecting peer sees a closed connection
                return
            forward_pipe = asyncio.create_task(self._pipe(reader, upstream[1], caller, host))
            backward_pipe = asyncio.create_task(self._pipe(upstream[0], writer, host, caller))
            for task in (forward_pipe, backward_pipe):
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
            pass  # one end closed, or the run ended: the other end is closed below
        finally:
            writer.close()

    @staticmethod
    async def _wait_while_cut(link: Link, writer: asyncio.StreamWriter) -> bool:
        """Wait while the link is cut; return False if the connection closes meanwhile."""
        while link.cut:
            await asyncio.sleep(0.02)
            if writer.is_closing():
                return False
        return True

    def _link(self, source: str, target: str) -> Link:
        return self._links.setdefault((source, target), Link())

    def set_cut(self, source: str, target: str, cut: bool) -> None:
        """Cut or restore the link from node `source` to node `target`."""
        self._link(self._hosts[source], self._hosts[target]).cut = cut

    def set_delay(self, source: str, target: str, delay: float) -> None:
        """Delay each chunk from node `source` to node `target` by `delay` seconds."""
        self._link(self._hosts[source], self._hosts[target]).delay = delay

    def restore_all(self) -> None:
        """Restore all links: remove all cuts and delays."""
        for link in self._links.values():
            link.cut = False
            link.delay = 0.0

    async def close(self) -> None:
        """Stop listening and cancel the relayed connections."""
        for server in self._servers:
            server.close()
        for task in list(self._pipes):
            task.cancel()
