"""Parses the JSON lines of a token stream and checks their order."""

import json
from dataclasses import dataclass

from galenashift.model import ExchangeId, StreamEnd, Token

#: Longest line of a stream, in bytes; a token is only a few bytes.
MAX_LINE_BYTES = 65_536

_TOKEN_SUFFIX = b'"}'


@dataclass(frozen=True, kw_only=True)
class ProtocolViolation:
    """A stream violates the protocol; the rest of it is ignored."""

    #: Description of the violation.
    detail: str
    #: Whether the line carries the id of another exchange.
    wrong_exchange: bool = False


class LineReader:
    """Parses the body of one answer into consecutive tokens.

    :param exchange_id: Exchange that every line must carry.
    :param next_index: Index of the first token.
    """

    def __init__(self, *, exchange_id: ExchangeId, next_index: int) -> None:
        self._exchange_id = exchange_id
        self._next_index = next_index
        self._partial_line = b""
        self._closed = False
        name = json.dumps(exchange_id).encode()
        #: Bytes before and after the index in token lines, as common encoders write
        #: them with and without spaces.
        self._token_prefixes = tuple(
            (
                b"{%s%s%s%s%s"
                % (b'"exchange":', space, name, b',%s"index":' % space, space),
                b',%s"token":%s"' % (space, space),
            )
            for space in (b" ", b"")
        )

    def feed(self, data: bytes) -> list[Token | StreamEnd | ProtocolViolation]:
        """Parse the next bytes; returns no items after the end or a violation."""
        if self._closed:
            return []
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        items: list[Token | StreamEnd | ProtocolViolation] = []
        for line in lines:
            items.append(self._parse_line(line))
            if not isinstance(items[-1], Token):
                self._closed = True
                return items
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._closed = True
            items.append(
                ProtocolViolation(detail=f"a line is over {MAX_LINE_BYTES} bytes")
            )
        return items

    def finish(self) -> ProtocolViolation | None:
        """Return a violation if the body ended before the end marker, else None."""
        if self._closed:
            return None
        self._closed = True
        return ProtocolViolation(detail="the body ended without an end marker")

    def _parse_plain_token(self, line: bytes) -> Token | None:
        """Parse a line without decoding JSON; None if that is not possible.

        A line is accepted only if it has exactly the usual encoding of the expected
        token, whose text has no character that JSON escapes or forbids.
        """
        for start, separator in self._token_prefixes:
            if not line.startswith(start):
                continue
            prefix = b"%s%d%s" % (start, self._next_index, separator)
            is_long_enough = len(line) >= len(prefix) + len(_TOKEN_SUFFIX)
            if not (
                is_long_enough
                and line.startswith(prefix)
                and line.endswith(_TOKEN_SUFFIX)
            ):
                return None
            data = line[len(prefix) : -len(_TOKEN_SUFFIX)]
            if b'"' in data or b"\\" in data:
                return None
            try:
                text = data.decode()
            except UnicodeDecodeError:
                return None
            if not text.isprintable():
                return None
            token = Token(index=self._next_index, text=text)
            self._next_index += 1
            return token
        return None

    def _parse_line(self, line: bytes) -> Token | StreamEnd | ProtocolViolation:
        token = self._parse_plain_token(line)
        if token is not None:
            return token
        try:
            value = json.loads(line)
        except ValueError:
            return ProtocolViolation(detail="a line is not valid JSON")
        match value:
            case {"exchange": str(exchange)} if exchange != self._exchange_id:
                return ProtocolViolation(
                    detail="a line has the id of another exchange", wrong_exchange=True
                )
            case {"exchange": str(), "end": True, "count": int(count)}:
                if count == self._next_index:
                    return StreamEnd(count=count)
                return ProtocolViolation(
                    detail=f"end marker counts {count}, received {self._next_index}"
                )
            case {"exchange": str(), "index": int(index), "token": str(text)}:
                if index == self._next_index:
                    self._next_index += 1
                    return Token(index=index, text=text)
                return ProtocolViolation(
                    detail=f"token {index} arrived in place of {self._next_index}"
                )
        return ProtocolViolation(detail="a line is neither a token nor an end marker")
