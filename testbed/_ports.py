"""Free TCP ports on loopback."""

import socket
from random import Random

#: The range is below the kernel's ephemeral ports, so that no outgoing connection
#: takes a port between its allocation and its use.
_FIRST_PORT = 12_000
_LAST_PORT = 30_000


class PortAllocator:
    """Allocates each port at most once, and reserves it until `close`.

    A reserved port is bound but not listened on. Other allocators see it as in use,
    while a daemon can listen on it because both sockets set SO_REUSEADDR. Without the
    reservation, deployments that start at the same time took the same port.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._reservations_by_port: dict[int, socket.socket] = {}

    def allocate(self) -> int:
        """Reserve a loopback port to which no socket is bound."""
        while True:
            port = self._random.randint(_FIRST_PORT, _LAST_PORT)
            reservation = _reserve(port)
            if reservation is not None:
                self._reservations_by_port[port] = reservation
                return port

    def close(self) -> None:
        """Release all reserved ports."""
        for reservation in self._reservations_by_port.values():
            reservation.close()
        self._reservations_by_port.clear()


def _reserve(port: int) -> socket.socket | None:
    reservation = socket.socket()
    try:
        # Without SO_REUSEADDR, this fails if any other socket is bound to the port.
        reservation.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        return None
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation
