"""Socket filter by which a listener ignores new connection attempts."""

import ctypes
import socket
import struct
import sys

#: Option of Linux that attaches a classic BPF program; not in the module `socket`.
_SO_ATTACH_FILTER = 26
#: Opcodes of classic BPF: load a byte of the segment at a constant offset, jump if any
#: bit of a constant is set, and return a constant.
_LOAD_BYTE, _JUMP_IF_BITS, _RETURN = 0x30, 0x45, 0x06
#: Offset of the flags in the TCP header, in bytes, and the flag SYN.
_TCP_FLAGS_OFFSET, _SYN = 13, 0x02
#: Number of bytes of a segment that the kernel keeps.
_DROP, _KEEP_ALL = 0, 0xFFFFFFFF
#: Instructions as opcode, instructions skipped if the jump is true, those if it is
#: false, and operand. Segments with the flag SYN are dropped and all others kept.
_DROP_SYN = (
    (_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET),
    (_JUMP_IF_BITS, 0, 1, _SYN),
    (_RETURN, 0, 0, _DROP),
    (_RETURN, 0, 0, _KEEP_ALL),
)


def ignore_new_connections(listener: socket.socket) -> bool:
    """Let the kernel drop connection attempts, which callers then repeat.

    Connections in the queue, and handshakes that have begun, are not affected.

    :param listener: Listening TCP socket.
    :returns: Whether the kernel supports this.
    """
    if sys.platform != "linux":
        return False
    code = b"".join(struct.pack("HBBI", *each) for each in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True
