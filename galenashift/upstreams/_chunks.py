"""Decoder of the chunked transfer coding, without I/O."""

import re

#: Chunk size line without extensions. All others are left to the HTTP library.
_SIZE_LINE = re.compile(rb"[0-9A-Fa-f]{1,8}")

#: Longest chunk size line to wait for, in bytes. Longer ones are left to h11.
_MAX_SIZE_LINE_BYTES = 64

_LINE_END = b"\r\n"


class ChunkError(Exception):
    """The content of a chunk is not followed by CRLF."""


class ChunkDecoder:
    """Extracts the content of chunks in one pass over each read.

    h11 creates an event for each chunk, which costs more than all other processing
    of a token. This decoder handles only chunks without extensions. At the last
    chunk, or at any other size line, it stops and leaves the bytes in `undecoded` for
    h11.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._chunk_remaining = 0
        self._in_chunk = False
        #: Bytes for h11 to decode, None while this decoder continues. No data may be
        #: fed once it is set.
        self.undecoded: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Decode the next bytes.

        :returns: Content of chunks, including incomplete ones.
        :raises ChunkError: If a chunk is longer than its size.
        """
        data = self._buffer + data
        self._buffer = b""
        parts: list[bytes] = []
        position = 0
        while True:
            if self._in_chunk:
                part = data[position : position + self._chunk_remaining]
                parts.append(part)
                position += len(part)
                self._chunk_remaining -= len(part)
                if self._chunk_remaining or len(data) - position < len(_LINE_END):
                    break
                if not data.startswith(_LINE_END, position):
                    raise ChunkError("a chunk is longer than its size")
                position += len(_LINE_END)
                self._in_chunk = False
            end = data.find(_LINE_END, position)
            if end < 0 and len(data) - position <= _MAX_SIZE_LINE_BYTES:
                break
            size = data[position:end]
            self._chunk_remaining = int(size, 16) if _SIZE_LINE.fullmatch(size) else 0
            if not self._chunk_remaining:
                self.undecoded = data[position:]
                return b"".join(parts)
            position = end + len(_LINE_END)
            self._in_chunk = True
        self._buffer = data[position:]
        return b"".join(parts)
