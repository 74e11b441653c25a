"""Malformed, oversized, slow and truncated input on one daemon."""

import contextlib
import errno
import json
import re
import socket
import struct
from pathlib import Path

import pytest

from testbed import (
    API_KEYS_BY_ORGANISATION,
    SmallOptions,
    call_until_admitted,
    expected_lookup,
    start_small,
)

NORTH = API_KEYS_BY_ORGANISATION["north"]
#: Memory that many bad requests may add to a daemon in all. Keeping the bytes of
#: one round of them would add more.
MEMORY_KIB = 32_768
ROUNDS = 8


def head(*lines, path="lookup", key=NORTH, method="POST"):
    fixed = (
        f"{method} /v1/pipelines/{path} HTTP/1.1",
        "host: daemon",
        f"authorization: Bearer {key}",
    )
    return "\r\n".join((*fixed, *lines, "", "")).encode()


def whole(body, **options):
    return head(f"content-length: {len(body)}", **options) + body


GOOD = json.dumps({"input": {"n": 1}}).encode()
#: Bytes that a caller sends by name, and the statuses of a right answer; None where
#: the daemon closes the connection without one.
REQUESTS = {
    "no-http": (b"\x00\x16\x03 garbage\r\n\r\n", {400}),
    "no-json": (whole(b"not json"), {400}),
    "list": (whole(b"[]"), {400}),
    "invalid-utf-8": (whole(b'{"input": {"a": "\xff\xfe"}}'), {400}),
    "repeated-key": (whole(b'{"input": {}, "input": {}}'), {400}),
    "surrogate": (whole(b'{"input": {"a": "\\ud800"}}'), {400}),
    "deep": (whole(b'{"input": ' + b'{"a":' * 5000 + b"1" + b"}" * 5001), {400}),
    "unknown-field": (whole(b'{"input": {}, "x": 1}'), {400}),
    "unknown-pipeline": (whole(GOOD, path="nothing"), {404}),
    "path-utf-8": (whole(GOOD, path="%ff%fe/../.."), {404}),
    "unknown-organisation": (whole(GOOD, key="nobody"), {401}),
    "key-bytes": (whole(GOOD, key="\u00e9\u00ff"), {400, 401}),
    "method": (whole(GOOD, method="PUT"), {405}),
    "two-lengths": (head("content-length: 1", "content-length: 2") + b"{}", {400}),
    "bad-length": (head("content-length: -5"), {400}),
    "huge-length": (head("content-length: 99999999999999999999"), {400, 413}),
    "oversized": (whole(b" " * 1_000_001), {413, None}),
    "encoded": (head("content-encoding: gzip", "content-length: 1") + b"x", {400}),
    "bad-chunk": (head("transfer-encoding: chunked") + b"zz\r\n", {400, None}),
    "header-flood": (head(*(f"x-{n}: {'a' * 90}" for n in range(2000))), {431, None}),
    "long-header": (head("x: " + "a" * 500_000), {431, None}),
    "endless-head": (b"POST /" + b"a" * 500_000, {400, 414, 431, None}),
    "truncated-body": (head("content-length: 500") + GOOD, {400, None}),
}
#: What a peer sends that knows no key.
PEER_BYTES = {
    "garbage": bytes(range(256)) * 64,
    "huge-length": struct.pack("!I", 0xFFFF_FFFF) + b"x" * 1000,
    "zero-length": struct.pack("!I", 0),
    "wrong-proof": struct.pack("!I", 100) + b"\x18" * 100,
    "half-frame": struct.pack("!I", 400) + b"x",
}


def address_of(url):
    host, port = url.removeprefix("http://").rsplit(":", 1)
    return host, int(port)


def _end_writing(connection):
    """Close the sending side; a daemon that has refused the request may be first."""
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError as error:
        if error.errno != errno.ENOTCONN:
            raise


def exchange(address, data, *, until=b"\r\n\r\n", half_close=False):
    """Send bytes and read to a mark or until the daemon closes the connection."""
    received = b""
    with socket.create_connection(address, timeout=20.0) as connection:
        with contextlib.suppress(ConnectionError):
            connection.sendall(data)
            if half_close:
                _end_writing(connection)
        with contextlib.suppress(ConnectionError):
            while until not in received and (part := connection.recv(65_536)):
                received += part
    return received


def status_of(answer):
    found = re.match(rb"HTTP/1\.1 (\d{3})", answer)
    return int(found[1]) if found else None


def resident_kib(daemon):
    status = Path(f"/proc/{daemon.process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1])


def assert_serves(daemon):
    reply = call_until_admitted(
        daemon=daemon, pipeline="lookup", api_key=NORTH, document={"n": 1}
    )
    assert (reply.status, reply.json()) == (200, expected_lookup({"n": 1}))
    log = daemon.process.log_path.read_text()
    assert "Traceback" not in log
    assert "internal-error" not in log
    assert "connection-failed" not in log


@pytest.fixture
def daemon(deployment):
    sizes = SmallOptions(daemons=1, directories=1, ledgers=1, engines=1)
    return start_small(deployment, options=sizes)[0]


def test_bad_requests_get_a_clear_error(daemon):
    # Guards against a handler that fails, hangs or keeps memory on bad input.
    address = address_of(daemon.caller_url)
    wrong = {}
    for name, (data, wanted) in REQUESTS.items():
        truncated = name == "truncated-body"
        status = status_of(exchange(address, data, half_close=truncated))
        if status not in wanted:
            wrong[name] = status
    assert wrong == {}
    assert_serves(daemon)
    before = resident_kib(daemon)
    for _ in range(ROUNDS):
        for data, _ in REQUESTS.values():
            exchange(address, data, half_close=True)
    assert resident_kib(daemon) - before < MEMORY_KIB
    assert_serves(daemon)


def test_slow_callers_do_not_hold_others(daemon):
    # Guards against callers that send half a request and keep the connection.
    address = address_of(daemon.caller_url)
    halves = [head("content-length: 500") + GOOD, head()[:-2], b"POST /v1"]
    with contextlib.ExitStack() as stack:
        held = [
            stack.enter_context(socket.create_connection(address, timeout=20.0))
            for _ in range(60)
        ]
        for number, connection in enumerate(held):
            connection.sendall(halves[number % len(halves)])
        for _ in range(5):
            assert_serves(daemon)
        # A body that does not arrive is refused by the daemon.
        for connection in held[:: len(halves)]:
            assert status_of(connection.recv(65_536)) == 400
    assert_serves(daemon)


def test_bad_peers_are_cut(daemon):
    # Guards against memory for a length that a stranger claims.
    settings = daemon.settings_path.read_text()
    address = address_of(re.search(r"peer_address: '?([\d.:]+)", settings)[1])
    before = resident_kib(daemon)
    for _ in range(ROUNDS):
        for data in PEER_BYTES.values():
            exchange(address, data, until=b"no such mark")
    assert resident_kib(daemon) - before < MEMORY_KIB
    assert_serves(daemon)
