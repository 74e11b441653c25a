"""Merges small chunks of a body before they reach the HTTP parser.

The parser makes an event for each chunk, so a body in chunks of one byte would cost a
hundred times as much as the same body in large ones.
"""

import re

#: Largest chunk that is merged with others, in bytes.
_SMALL_CHUNK_BYTES = 1_024
#: Longest size line of a chunk that is recognised, in bytes; a size of at most eight
#: digits without extension.
_MAX_SIZE_LINE_BYTES = 10
#: Size line of a chunk without extension.
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})\r\n")
#: End of a head or a trailer.
HEAD_END = re.compile(rb"\n\r?\n")
_LINE_END = b"\r\n"
#: Most chunks of one call, which take about a millisecond.
MAX_CHUNKS_PER_CALL = 1_024


class ChunkMerger:
    """Takes the chunks of one body out of a buffer, small ones merged to larger ones.

    What it does not understand, such as a chunk extension or an error, it passes on
    unchanged from there on, and leaves the rest to the parser.
    """

    def __init__(self) -> None:
        #: Bytes of the present large chunk that have not been passed on.
        self._left_bytes = 0
        #: Whether the last chunk has been passed on.
        self.in_trailer = False
        #: Whether everything is passed on unchanged, beyond the end of the body too.
        self.is_raw = False
        #: Small chunks that the last call merged.
        self.merged_chunks = 0

    def take(self, buffer: bytearray) -> bytes:
        """Remove what can be passed on from the buffer, and return it.

        :param buffer: What has arrived; bytes after the body stay in it.
        :returns: Bytes for the parser; empty if more data is needed.
        """
        self.merged_chunks = 0
        if self.is_raw:
            return _cut(buffer, len(buffer))
        if self._left_bytes:
            taken = _cut(buffer, self._left_bytes)
            self._left_bytes -= len(taken)
            return taken
        if self.in_trailer:
            return self._take_trailer(buffer)
        return self._take_chunks(buffer)

    def _take_chunks(self, buffer: bytearray) -> bytes:
        merged = bytearray()
        position = 0
        end = len(buffer)
        for _ in range(MAX_CHUNKS_PER_CALL):
            match = _SIZE_LINE.match(buffer, position)
            if match is None:
                line = buffer[position : position + _MAX_SIZE_LINE_BYTES]
                if _LINE_END in line or len(line) == _MAX_SIZE_LINE_BYTES:
                    self.is_raw = True
                break
            start = match.end()
            size = int(match[1], 16)
            if size == 0 or size > _SMALL_CHUNK_BYTES:
                if not merged:
                    return self._begin(buffer, size, head_bytes=start)
                break
            if start + size + 2 > end:
                break
            if buffer[start + size : start + size + 2] != _LINE_END:
                self.is_raw = True
                break
            merged += buffer[start : start + size]
            position = start + size + 2
            self.merged_chunks += 1
        if not merged and self.is_raw:
            return _cut(buffer, len(buffer))
        del buffer[:position]
        return b"%x\r\n%b\r\n" % (len(merged), bytes(merged)) if merged else b""

    def _begin(self, buffer: bytearray, size: int, *, head_bytes: int) -> bytes:
        """Pass on the size line of a large chunk, or of the last one."""
        if size:
            self._left_bytes = size + len(_LINE_END)
        else:
            self.in_trailer = True
        return _cut(buffer, head_bytes)

    def _take_trailer(self, buffer: bytearray) -> bytes:
        for line_end in (_LINE_END, b"\n"):
            if buffer.startswith(line_end):
                return _cut(buffer, len(line_end))
        match = HEAD_END.search(buffer)
        return b"" if match is None else _cut(buffer, match.end())


def _cut(buffer: bytearray, size: int) -> bytes:
    taken = bytes(buffer[:size])
    del buffer[:size]
    return taken
