"""HTTP server of the readiness and metrics endpoints."""

from collections.abc import Callable

import h11
import trio

_READ_BYTES = 4_096
#: Timeout for reading a request and writing its answer, in seconds.
_REQUEST_TIMEOUT_S = 5.0

#: Returns the status and the body for a path.
Page = Callable[[str], tuple[int, bytes]]


async def serve_pages(stream: trio.SocketStream, *, page: Page) -> None:
    """Answer the requests of one connection.

    :param page: Returns the answer for a path.
    """
    parser = h11.Connection(h11.SERVER)
    try:
        while True:
            # A client that does not read its answer is given up, too.
            with trio.fail_after(_REQUEST_TIMEOUT_S):
                if not await _serve_request(stream, parser, page):
                    return
            parser.start_next_cycle()
    except trio.TooSlowError:
        return
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        # The client has disconnected; health checks and scrapes are repeated anyway.
        return
    except h11.ProtocolError:
        return
    finally:
        await trio.aclose_forcefully(stream)


async def _serve_request(
    stream: trio.SocketStream, parser: h11.Connection, page: Page
) -> bool:
    target = ""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some(_READ_BYTES))
        elif isinstance(event, h11.Request):
            target = event.target.decode("latin-1")
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            return False
    status, body = page(target)
    length = ("content-length", str(len(body)))
    head = parser.send(h11.Response(status_code=status, headers=[length])) or b""
    data = parser.send(h11.Data(data=body)) or b"" if body else b""
    await stream.send_all(head + data + (parser.send(h11.EndOfMessage()) or b""))
    return parser.our_state is h11.DONE
