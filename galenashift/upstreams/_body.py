"""Reads the body of a streamed answer."""

import httpcore

from ._chunks import ChunkDecoder, ChunkError
from ._connection import TrackedStream
from ._transport import Transport


class StreamBody:
    """Reads the body of a streamed answer at a low cost per token.

    Chunks without extensions bypass the HTTP library. It reads the end of the body,
    so that the connection can be reused, and bodies in any other transfer coding.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        response: httpcore.Response,
        headers: dict[str, str],
    ) -> None:
        self._transport = transport
        self._response = response
        self._decoder = ChunkDecoder()
        self._received_content = False
        self._direct_stream: TrackedStream | None = None
        stream = response.extensions.get("network_stream")
        chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        if chunked and isinstance(stream, TrackedStream) and stream.at_body_start:
            self._direct_stream = stream

    async def read(self) -> bytes:
        """Read the next part of the body; empty at the end.

        :raises httpcore.NetworkError: On a network failure, see `NETWORK_ERRORS`.
        """
        while self._direct_stream is not None:
            # The first read is not delayed to coalesce it with others.
            data = await self._direct_stream.read_body(coalesce=self._received_content)
            if not data:
                self._direct_stream = None
                break
            try:
                content = self._decoder.feed(data)
            except ChunkError as error:
                raise httpcore.RemoteProtocolError(str(error)) from error
            if self._decoder.undecoded is not None:
                self._direct_stream.unread(self._decoder.undecoded)
                self._direct_stream = None
            if content:
                self._received_content = True
                return content
        return await self._transport.read(self._response)
