"""Calls between nodes: length-prefixed frames over one TCP connection from a node to each peer.

Owns the connections, the numbers that match answers to calls, and the counters of sent bytes and
frames. Relies on `messages` to encode frames and on the handlers that other modules register. A
call ends with its answer or a PeerError; the transport never sends a message a second time.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from crankseam.constants import MAX_FRAME_BYTES
from crankseam.errors import FrameError, PeerError, PeerTimeout, PeerUnreachable
from crankseam.peers.messages import (
    AnyMessage,
    Frame,
    Hello,
    Message,
    Refusal,
    decode_frame,
    encode_frame,
)

log = logging.getLogger(__name__)

Handler = Callable[[str, AnyMessage], Awaitable[AnyMessage | None]]
"""Called with the peer's name and its message; None sends no answer."""

AnswerType = TypeVar("AnswerType", bound=Message)

CONNECT_TIMEOUT_S = 1.0
"""Time-out of establishing a connection, equal to the default of `timing.peer_timeout`."""
HELLO_TIMEOUT_S = 5.0
"""Time within which a new incoming connection must send its Hello message."""
MAX_CONCURRENT_CALLS = 1024
"""Calls handled at the same time per connection; further frames wait in the socket buffer, which
bounds memory."""


async def read_frame(reader: asyncio.StreamReader) -> Frame:
    """Read one frame.

    Raises
    ======

    FrameError : the bytes are not a valid frame.
    asyncio.IncompleteReadError : the connection ended before the end of the frame.
    """
    size = int.from_bytes(await reader.readexactly(4), "big")
    if not 0 < size <= MAX_FRAME_BYTES:
        raise FrameError(f"invalid frame size: {size} bytes")
    body = await reader.readexactly(size)
    try:
        return decode_frame(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FrameError("not a frame of this protocol") from error


class FrameWriter:
    """Combines the frames queued in one iteration of the event loop into one write."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._queued: list[bytes] = []
        self.bytes_sent = 0

    def send(self, frame: Frame) -> None:
        """Queue a frame, which is written in the next iteration of the event loop."""
        if not self._queued:
            asyncio.get_running_loop().call_soon(self._flush)
        self._queued.append(encode_frame(frame))

    def _flush(self) -> None:
        data = b"".join(self._queued)
        self._queued.clear()
        self.bytes_sent += len(data)
        if not self._writer.is_closing():
            self._writer.write(data)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


@dataclass
class TrafficCounters:
    """Bytes and frames sent on a node's peer connections since the process started."""

    closed_bytes_out: int = 0
    """Bytes sent on connections that are closed; the writer of an open one counts its own."""
    frames_out: int = 0


class OutgoingConnection:
    """A connection to one peer, opened at the first call and again after a failure.

    One task reads the answers to the calls made on the connection.
    """

    def __init__(self, address: str, transport: PeerTransport) -> None:
        self._address = address
        self._transport = transport
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[int, asyncio.Future[AnyMessage]] = {}
        self._writer: FrameWriter | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._connect_lock = asyncio.Lock()

    async def _connect(self) -> FrameWriter:
        async with self._connect_lock:
            if self._writer is not None:
                return self._writer
            host, _, port = self._address.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        host,
                        int(port),
                        ssl=self._transport.client_tls(),
                        local_addr=self._transport.local_address,
                    )
            except (OSError, TimeoutError, ssl.SSLError) as error:
                raise PeerUnreachable(self._address) from error
            self._writer = FrameWriter(writer)
            hello = Hello(self._transport.node, self._transport.incarnation)
            self._writer.send(Frame(0, False, hello))
            self._reader_task = asyncio.create_task(self._read_answers(reader))
            return self._writer

    async def _read_answers(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                frame = await read_frame(reader)
                waiter = self._pending_calls.pop(frame.call, None)
                if waiter is not None and not waiter.done():
                    waiter.set_result(frame.message)
        except (OSError, asyncio.IncompleteReadError, FrameError):
            pass  # each pending call raises PeerUnreachable, which its caller handles
        finally:
            self._fail_pending_calls()

    def _fail_pending_calls(self) -> None:
        if self._writer is not None:
            self._transport.traffic.closed_bytes_out += self._writer.bytes_sent
            self._writer.close()
            self._writer = None
        for waiter in self._pending_calls.values():
            if not waiter.done():
                waiter.set_exception(PeerUnreachable(self._address))
        self._pending_calls.clear()

    async def call(self, message: AnyMessage, timeout: float) -> AnyMessage:
        """Send a message and return its answer; raises PeerError."""
        number = next(self._call_numbers)
        try:
            async with asyncio.timeout(timeout):
                writer = self._writer or await self._connect()
                waiter = asyncio.get_running_loop().create_future()
                self._pending_calls[number] = waiter
                writer.send(Frame(number, False, message))
                self._transport.traffic.frames_out += 1
                return await waiter
        except TimeoutError as error:
            raise PeerTimeout(self._address) from error
        finally:
            self._pending_calls.pop(number, None)

    def close(self) -> None:
        """Close the connection and fail its pending calls."""
        if self._reader_task is not None:
            self._reader_task.cancel()
        self._fail_pending_calls()


class PeerTransport:
    """All peer connections of a node, outgoing and incoming.

    Parameters
    ==========

    node : this node's name.
    incarnation : this process's incarnation.
    local_address : (host, 0) to which outgoing connections are bound, or None.
    server_tls : returns the TLS context for listening, or None for plain TCP.
    client_tls : returns the TLS context for calling, or None.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        local_address: tuple[str, int] | None = None,
        server_tls: Callable[[], ssl.SSLContext | None] = lambda: None,
        client_tls: Callable[[], ssl.SSLContext | None] = lambda: None,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.local_address = local_address
        self.client_tls = client_tls
        self.traffic = TrafficCounters()
        self._server_tls = server_tls
        self._handlers: dict[type, Handler] = {}
        self._connections: dict[str, OutgoingConnection] = {}
        self._server: asyncio.Server | None = None
        self._incoming: set[FrameWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register `handler` for messages of this type, replacing an earlier one."""
        self._handlers[message_type] = handler

    async def listen(self, host: str, port: int) -> int:
        """Start listening and return the port, which the operating system chooses if 0 is given."""
        self._server = await asyncio.start_server(
            self._serve_connection, host, port, ssl=self._server_tls()
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections.values():
            connection.close()
        for writer in list(self._incoming):
            writer.close()
        for task in list(self._tasks):
            task.cancel()

    async def call(self, address: str, message: Message, timeout: float) -> AnyMessage:
        """Send a message to the peer at `address` and return its answer.

        Raises
        ======

        PeerUnreachable : the connection could not be opened or broke, or the peer refused the call.
        PeerTimeout : no answer arrived within `timeout` seconds.
        """
        connection = self._connections.get(address)
        if connection is None:
            connection = OutgoingConnection(address, self)
            self._connections[address] = connection
        answer = await connection.call(message, timeout)  # type: ignore[arg-type]
        if isinstance(answer, Refusal):
            raise PeerUnreachable(f"{address} refused: {answer.reason}")
        return answer

    async def call_for(
        self, address: str, message: Message, answer_type: type[AnswerType], timeout: float
    ) -> AnswerType:
        """Like `call`, but raise PeerUnreachable if the answer is not of type `answer_type`."""
        answer = await self.call(address, message, timeout)
        if not isinstance(answer, answer_type):
            raise PeerUnreachable(f"{address} answered with {type(answer).__name__}")
        return answer

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frame_writer = FrameWriter(writer)
        self._incoming.add(frame_writer)
        call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await read_frame(reader)
            if not isinstance(hello.message, Hello):
                raise FrameError("the first frame is not a Hello message")
            while True:
                frame = await read_frame(reader)
                await call_slots.acquire()
                task = asyncio.create_task(
                    self._handle_call(hello.message.node, frame, frame_writer, call_slots)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except FrameError as error:
            log.warning("peer sent a bad frame", extra={"reason": str(error)})
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ssl.SSLError):
            pass  # the peer closed the connection or sent no Hello in time; it reconnects to call
        except asyncio.CancelledError:
            pass  # the asyncio server cancels its connection tasks at shutdown
        finally:
            self._incoming.discard(frame_writer)
            self.traffic.closed_bytes_out += frame_writer.bytes_sent
            frame_writer.close()

    async def _handle_call(
        self, peer: str, frame: Frame, writer: FrameWriter, call_slots: asyncio.Semaphore
    ) -> None:
        try:
            handler = self._handlers.get(type(frame.message))
            answer: AnyMessage | None
            if handler is None:
                answer = Refusal("no handler")
            else:
                answer = await handler(peer, frame.message)
        except PeerError as error:
            answer = Refusal(type(error).__name__)
        except Exception as error:
            log.exception("peer message failed", extra={"peer": peer})
            answer = Refusal(type(error).__name__)
        finally:
            call_slots.release()
        if answer is not None and frame.call:
            writer.send(Frame(frame.call, True, answer))
            self.traffic.frames_out += 1

    def current_bytes_out(self) -> int:
        """Return the number of bytes sent so far on closed and open connections."""
        open_writers = [c._writer for c in self._connections.values() if c._writer is not None]
        open_bytes = sum(writer.bytes_sent for writer in [*open_writers, *self._incoming])
        return self.traffic.closed_bytes_out + open_bytes
