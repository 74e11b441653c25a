"""Thrift compact encoding, with bounds on the time and memory of decoding."""

import io
from importlib import resources
from pathlib import Path
from typing import Any

from thriftpy2.parser import load_fp
from thriftpy2.protocol.compact import CompactType, TCompactProtocol
from thriftpy2.thrift import TException, TType

# The library has no type annotations.
_CompactProtocol: Any = TCompactProtocol

_IDL_NAME = "peers.thrift"
_MAX_VARINT_BYTES = 10
#: Limit on the nesting of decoded values. Structures of the IDL nest 3 deep, but
#: unknown fields may nest further.
_MAX_DEPTH = 16
#: Types that are encoded as integers of variable length.
_INTEGER_TYPES = (TType.I16, TType.I32, TType.I64)


class CodecError(Exception):
    """A frame cannot be decoded to, or encoded from, the expected structure."""


def _read_idl() -> str:
    try:
        return resources.files(__package__).joinpath(_IDL_NAME).read_text("utf-8")
    except (FileNotFoundError, ModuleNotFoundError, NotImplementedError):
        # A frozen binary extracts data files next to the module.
        return Path(__file__).with_name(_IDL_NAME).read_text("utf-8")


#: Structures of the IDL, as a module.
idl: Any = load_fp(io.StringIO(_read_idl()), "galenashift_peers_thrift")


class _Reader:
    """Reads a frame from memory; reading past its end raises `CodecError`."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    @property
    def remaining(self) -> int:
        return len(self._data) - self._position

    def read(self, size: int) -> bytes:
        if size > self.remaining:
            raise CodecError("a value extends past the end of the frame")
        start = self._position
        self._position += size
        return self._data[start : self._position]

    def read_byte(self) -> int:
        if self._position >= len(self._data):
            raise CodecError("a value extends past the end of the frame")
        self._position += 1
        return self._data[self._position - 1]

    def read_varint(self) -> int:
        result = 0
        for index in range(_MAX_VARINT_BYTES):
            if self._position >= len(self._data):
                raise CodecError("a value extends past the end of the frame")
            byte = self._data[self._position]
            self._position += 1
            result |= (byte & 0x7F) << (7 * index)
            if byte < 0x80:
                return result
        raise CodecError("a variable-length integer has more than 10 bytes")

    def read_integers(self, count: int) -> list[int]:
        """Read signed integers; most of them have one or two bytes."""
        data = self._data
        numbers = []
        for _ in range(count):
            position = self._position
            if position >= len(data):
                raise CodecError("a value extends past the end of the frame")
            number = data[position]
            if number < 0x80:
                self._position = position + 1
            else:
                number = self.read_varint()
            numbers.append((number >> 1) ^ -(number & 1))
        return numbers


class _Writer:
    """Collects the encoded parts of a frame."""

    def __init__(self) -> None:
        self.data = bytearray()

    def write(self, part: bytes) -> None:
        self.data += part


class _BoundedProtocol(_CompactProtocol):  # type: ignore[misc]
    """Compact protocol whose decoding time is linear in the length of the frame.

    The library accepts integers of any length, collections of any declared size
    and elements of zero length, so that a short frame can take minutes to decode.
    """

    trans: _Reader
    _last_fid: int

    def __init__(self, reader: _Reader) -> None:
        super().__init__(reader, strict_decode=True)
        self._depth = 0

    def _read_size(self) -> int:
        size = self.trans.read_varint()
        if size > self.trans.remaining:
            raise CodecError("a declared size is larger than the frame")
        return size

    def _read_int(self) -> int:
        number = self.trans.read_varint()
        return (number >> 1) ^ -(number & 1)

    def _read_val(self, ttype: int, spec: Any = None) -> Any:
        # Reports of a rollout are mostly integers and lists of them, for each of which
        # the library makes four calls.
        if ttype in _INTEGER_TYPES:
            return self._read_int()
        if ttype == TType.LIST and spec in _INTEGER_TYPES:
            _, size = self._read_collection_begin()
            return self.trans.read_integers(size)
        return super()._read_val(ttype, spec)

    def _read_field_begin(self) -> tuple[None, int, int]:
        header = self.trans.read_byte()
        kind = header & 0x0F
        if kind == CompactType.STOP:
            return None, TType.STOP, 0
        delta = header >> 4
        self._last_fid = self._last_fid + delta if delta else self._read_int()
        self._bool_value = None
        if kind in (CompactType.TRUE, CompactType.FALSE):
            self._bool_value = kind == CompactType.TRUE
        return None, self._get_ttype(kind), self._last_fid

    def _read_collection_begin(self) -> tuple[int, int]:
        header = self.trans.read(1)[0]
        kind = self._get_ttype(header)
        size = header >> 4
        if size == 15:
            size = self._read_size()
        if size > self.trans.remaining or kind == TType.STOP:
            raise CodecError("a list is larger than the frame")
        return kind, size

    def _read_map_begin(self) -> tuple[int, int, int]:
        raise CodecError("maps are not supported")

    def _read_struct_begin(self) -> None:
        self._increase_depth()
        super()._read_struct_begin()

    def _read_struct_end(self) -> None:
        self._depth -= 1
        super()._read_struct_end()

    def _increase_depth(self) -> None:
        self._depth += 1
        if self._depth > _MAX_DEPTH:
            raise CodecError("structures are nested too deeply")

    def skip(self, ttype: int) -> None:
        if ttype in _INTEGER_TYPES:
            self.trans.read_varint()
        elif ttype in (TType.LIST, TType.SET):
            self._increase_depth()
            super().skip(ttype)
            self._depth -= 1
        else:
            super().skip(ttype)


def encode(structure: Any) -> bytes:
    """Encode a structure of the IDL.

    :param structure: An instance of a structure class of `idl`.
    :raises CodecError: If a value does not fit its field.
    """
    writer = _Writer()
    try:
        _CompactProtocol(writer).write_struct(structure)
    except (TException, ValueError, TypeError, AttributeError) as error:
        name = type(structure).__name__
        raise CodecError(f"cannot encode a {name}: {error!r}") from error
    return bytes(writer.data)


def decode(structure_class: Any, data: bytes) -> Any:
    """Decode a structure of the IDL.

    :param structure_class: A structure class of `idl`.
    :param data: A complete frame.
    :raises CodecError: If the frame does not hold exactly one such structure.
    """
    reader = _Reader(data)
    structure = structure_class()
    try:
        _BoundedProtocol(reader).read_struct(structure)
    except (KeyError, ValueError, TypeError) as error:
        raise CodecError(f"not a {structure_class.__name__}: {error!r}") from error
    if reader.remaining:
        raise CodecError(f"{reader.remaining} bytes follow the structure")
    return structure
