"""A TCP forwarder that a test places between a daemon and a service or peer."""

import contextlib
import socket
import threading
from enum import Enum
from types import TracebackType
from typing import Self

_CHUNK_BYTES = 65_536


class LinkState(Enum):
    """How the forwarder treats new connections."""

    #: They are forwarded.
    OPEN = "open"
    #: They are closed immediately.
    CUT = "cut"
    #: They are accepted, but no byte is forwarded.
    SILENT = "silent"


class Forwarder:
    """Forwards TCP connections on loopback; a test can cut or silence them.

    :param port: Port on loopback to forward to.
    """

    def __init__(self, *, port: int) -> None:
        self._target = ("127.0.0.1", port)
        self._link_state = LinkState.OPEN
        #: Whether bytes from a socket are forwarded, for both ends of each connection.
        self._forwards_by_socket: dict[socket.socket, bool] = {}
        self._lock = threading.Lock()
        self._listener = self._listen(0)
        self._port = int(self._listener.getsockname()[1])

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop_listening()
        self.cut()

    @property
    def address(self) -> str:
        """IP address and port of the forwarder."""
        return f"127.0.0.1:{self._port}"

    @property
    def target_address(self) -> str:
        """IP address and port that connections are forwarded to."""
        host, port = self._target
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        """Base URL of the forwarder."""
        return f"http://{self.address}"

    def cut(self) -> None:
        """Close open connections, and new ones as soon as they are accepted."""
        self._link_state = LinkState.CUT
        self._close_open()

    def refuse(self) -> None:
        """Close open connections and stop listening, as after a crash of the target."""
        self._stop_listening()
        self._close_open()

    def listen_again(self) -> bool:
        """Listen at the same address after `refuse`.

        :returns: False if an outgoing connection uses the port at present.
        """
        try:
            self._listener = self._listen(self._port)
        except OSError:
            return False
        return True

    def _listen(self, port: int) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return listener

    def _stop_listening(self) -> None:
        # A close alone does not end a call of accept in another thread.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _close_open(self) -> None:
        with self._lock:
            for end in self._forwards_by_socket:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def silence_open(self) -> None:
        """Stop forwarding on the open connections; new ones work."""
        with self._lock:
            for end in self._forwards_by_socket:
                self._forwards_by_socket[end] = False

    def silence(self) -> None:
        """Stop forwarding on open connections and on new ones."""
        self._link_state = LinkState.SILENT
        self.silence_open()

    def restore(self) -> None:
        """Forward new connections again."""
        self._link_state = LinkState.OPEN

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
                if self._link_state is LinkState.CUT:
                    client.close()
                    continue
                server = socket.create_connection(self._target)
            except OSError:
                if listener.fileno() < 0:
                    return
                continue
            with self._lock:
                for end in (client, server):
                    self._forwards_by_socket[end] = self._link_state is LinkState.OPEN
            for source, destination in ((client, server), (server, client)):
                threading.Thread(
                    target=self._copy, args=(source, destination), daemon=True
                ).start()

    def _copy(self, source: socket.socket, destination: socket.socket) -> None:
        """Copy bytes until the source ends; drop them if the connection is silent."""
        with contextlib.suppress(OSError):
            while data := source.recv(_CHUNK_BYTES):
                if self._forwards_by_socket[source]:
                    destination.sendall(data)
        with self._lock:
            self._forwards_by_socket.pop(source, None)
        with contextlib.suppress(OSError):
            destination.shutdown(socket.SHUT_RDWR)
        source.close()
