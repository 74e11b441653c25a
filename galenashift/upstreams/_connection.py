"""Connections to upstreams that record the progress of each request."""

import os
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from enum import Enum
from typing import Any

import httpcore
import trio

from ._read_coalescing import ReadCoalescer

_READ_BYTES = 65_536
_HEADERS_END = b"\r\n\r\n"


class SendRefused(httpcore.NetworkError):
    """The daemon may no longer send new requests.

    Not a subclass of `httpcore.WriteError`, after which httpcore would wait for an
    early answer.
    """


def always_allow() -> bool:
    """Allow every request to be sent."""
    return True


class AbortReason(Enum):
    """Reason why this daemon closed the connection of an exchange."""

    SILENCE = "silence"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    DEADLINE = "deadline"


@dataclass(kw_only=True)
class Transmission:
    """Progress of one request on the network."""

    #: Returns seconds.
    clock: Callable[[], float]
    #: Called right before the first byte, as the daemon may have been paused while
    #: it connected.
    may_send: Callable[[], bool] = always_allow
    #: Whether `TrackedStream.read_body` reads the body of the answer.
    reads_body_directly: bool = False
    #: Whether the socket has accepted any byte of the request.
    sent_any_byte: bool = False
    #: Whether the last attempt used a connection that had served other requests.
    reused: bool = False
    #: Connection of the last attempt.
    stream: "TrackedStream | None" = None
    #: Time on the clock at which the pending read or write began, None if there is
    #: none.
    waiting_since_s: float | None = None
    #: Number of reads and writes so far.
    operations: int = 0
    #: Set when this daemon closed the connection.
    abort_reason: AbortReason | None = None

    def may_write(self) -> bool:
        """Return whether the next byte may be written."""
        return self.sent_any_byte or self.may_send()

    def begin_operation(self, stream: "TrackedStream") -> None:
        """Record that a read or write is pending."""
        self.stream = stream
        self.operations += 1
        self.waiting_since_s = self.clock()

    def end_operation(self) -> None:
        """Record that the pending read or write has ended."""
        self.waiting_since_s = None

    def abort(self, abort_reason: AbortReason) -> None:
        """Close the connection, which makes the pending read or write fail."""
        self.abort_reason = abort_reason
        if self.stream is not None:
            self.stream.abort()


#: Transmission of the request that the current task sends.
current_transmission: ContextVar[Transmission | None] = ContextVar(
    "transmission", default=None
)


class TrackedStream(httpcore.AsyncNetworkStream):
    """A TCP connection that updates the transmission that last wrote to it."""

    def __init__(
        self, stream: trio.SocketStream, *, read_coalescer: ReadCoalescer
    ) -> None:
        self._stream = stream
        self._read_coalescer = read_coalescer
        self._transmission: Transmission | None = None
        self._request_count = 0
        self._buffered = b""
        self._searching_body_start = False
        self._headers_tail = b""
        #: Whether httpcore has read all headers of the answer and no byte of its body.
        self.at_body_start = False

    def abort(self) -> None:
        """Close the socket; pending operations fail."""
        self._read_coalescer.discard(self._stream.socket.fileno())
        self._stream.socket.close()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes; the caller sets the timeout.

        A cancel scope for each read would cost more than decoding a token.
        """
        self.at_body_start = False
        if self._buffered:
            data, self._buffered = self._buffered, b""
            return data
        transmission = self._transmission
        if transmission is not None:
            transmission.begin_operation(self)
        try:
            data = bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        finally:
            if transmission is not None:
                transmission.end_operation()
        return self._split_at_body(data) if self._searching_body_start else data

    def _split_at_body(self, data: bytes) -> bytes:
        # The blank line that ends the headers may be split between two reads.
        text = self._headers_tail + data
        end = text.find(_HEADERS_END)
        if end < 0:
            self._headers_tail = text[1 - len(_HEADERS_END) :]
            return data
        at = end + len(_HEADERS_END) - len(self._headers_tail)
        self._buffered = data[at:]
        self._searching_body_start = False
        self.at_body_start = True
        return data[:at]

    async def read_body(self, *, coalesce: bool) -> bytes:
        """Read some bytes of the body without httpcore; the caller sets the timeout.

        :param coalesce: Whether the wake-up may be delayed to handle other streams
            with it, see `ReadCoalescer`.
        :raises httpcore.ReadError: If the connection fails.
        """
        if self._buffered:
            data, self._buffered = self._buffered, b""
            return data
        sock = self._stream.socket
        transmission = self._transmission
        if transmission is not None:
            transmission.begin_operation(self)
        try:
            while True:
                if coalesce:
                    await self._read_coalescer.wait_readable(sock.fileno())
                else:
                    await trio.lowlevel.wait_readable(sock.fileno())
                try:
                    return os.read(sock.fileno(), _READ_BYTES)
                except BlockingIOError:
                    continue
        except (OSError, ValueError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        finally:
            if transmission is not None:
                transmission.end_operation()

    def unread(self, data: bytes) -> None:
        """Push bytes back, so that the next read returns them."""
        self._buffered = data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes, and record when the socket has accepted the first one.

        The caller sets the timeout.
        """
        if not buffer:
            return
        transmission = current_transmission.get()
        if transmission is not None and not transmission.may_write():
            raise SendRefused("the daemon may not send new requests now")
        if self._transmission is not transmission or transmission is None:
            self._request_count += 1
            self._transmission = transmission
            self._searching_body_start = (
                transmission is not None and transmission.reads_body_directly
            )
            self._headers_tail = self._buffered = b""
        if transmission is not None:
            transmission.reused = self._request_count > 1
            transmission.begin_operation(self)
        try:
            # send_all does not tell whether an error came before or after the first
            # byte, so the first write is separate. A request that is already
            # cancelled must not send any byte.
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                sent = os.write(self._stream.socket.fileno(), buffer)
            except BlockingIOError:
                sent = await self._stream.socket.send(buffer)
            if transmission is not None:
                transmission.sent_any_byte = True
            if sent < len(buffer):
                await self._stream.send_all(buffer[sent:])
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error
        finally:
            if transmission is not None:
                transmission.end_operation()

    async def aclose(self) -> None:
        """Close the connection."""
        self._read_coalescer.discard(self._stream.socket.fileno())
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return the state by which httpcore detects closed idle connections."""
        if info == "is_readable":
            sock = self._stream.socket
            return sock.fileno() < 0 or sock.is_readable()
        return None
