"""HTTP client for the operator listener of a daemon."""

import json
from dataclasses import dataclass
from typing import Any

import httpcore

from galenashift.config import Address
from galenashift.model import (
    Failure,
    JsonObject,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

#: Timeout for connecting to a daemon, in seconds.
CONNECT_TIMEOUT_S = 5.0
#: Timeout for the response to a command, in seconds. A confirmation waits for the
#: store.
COMMAND_TIMEOUT_S = 30.0
#: Timeout for the response to a query, in seconds. ``explain`` waits up to 2 s for
#: peers.
QUERY_TIMEOUT_S = 10.0
#: Largest response body that is accepted.
MAX_RESPONSE_BYTES = 16_000_000

_LISTENER_HINT = "--daemon must be the operator_address of a daemon's settings"


@dataclass(frozen=True, kw_only=True)
class OperatorClient:
    """Sends authenticated requests to one daemon."""

    #: Address of the daemon's operator listener.
    address: Address
    #: The operators' token.
    token: str

    def get(self, path: str) -> JsonObject | Failure:
        """Send a query."""
        return self._send("GET", path, None)

    def post(self, path: str, data: JsonObject) -> JsonObject | Failure:
        """Send a command."""
        return self._send("POST", path, json.dumps(data).encode())

    def _send(
        self, method: str, path: str, content: bytes | None
    ) -> JsonObject | Failure:
        headers = [("Authorization", f"Bearer {self.token}"), ("Connection", "close")]
        wait_s = QUERY_TIMEOUT_S if method == "GET" else COMMAND_TIMEOUT_S
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "read": wait_s,
            "write": wait_s,
            "pool": CONNECT_TIMEOUT_S,
        }
        body = bytearray()
        try:
            with (
                httpcore.ConnectionPool() as pool,
                pool.stream(
                    method,
                    f"http://{self.address}{path}",
                    headers=headers,
                    content=content,
                    extensions={"timeout": timeout},
                ) as response,
            ):
                for chunk in response.iter_stream():
                    body += chunk
                    if len(body) > MAX_RESPONSE_BYTES:
                        return self._no_valid_response(
                            method, "its response is too large"
                        )
                status: int = response.status
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            detail = (
                f"no daemon can be reached at {self.address}: {error}; check --daemon, "
                "or try another daemon"
            )
            return not_run(reason=Reason.PEER_UNAVAILABLE, detail=detail)
        except httpcore.TimeoutException:
            detail = f"no response within {wait_s:g} s; try another daemon"
            return self._no_valid_response(method, detail)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            detail = f"the connection failed: {error}; {_LISTENER_HINT}"
            return self._no_valid_response(method, detail)
        return self._decode_response(method, status, bytes(body))

    def _decode_response(
        self, method: str, status: int, body: bytes
    ) -> JsonObject | Failure:
        try:
            data: Any = json.loads(body)
        except (ValueError, RecursionError):
            data = None
        if not isinstance(data, dict):
            return self._no_valid_response(
                method, f"its response (status {status}) is not a JSON object"
            )
        if status == 200:
            return data
        try:
            error = data["error"]
            reason = Reason(error["reason"])
            detail = str(error["detail"])
            if reason is Reason.UNKNOWN_PIPELINE:
                # Only the caller listener returns this reason.
                detail = f"{self.address} is the callers' listener; {_LISTENER_HINT}"
            return Failure(
                verdict=Verdict(error["verdict"]), reason=reason, detail=detail
            )
        except (KeyError, TypeError, ValueError):
            return self._no_valid_response(
                method, f"its response (status {status}) is not a valid error object"
            )

    def _no_valid_response(self, method: str, detail: str) -> Failure:
        if method == "GET":
            detail = f"{self.address}: {detail}"
            return not_run(reason=Reason.PEER_UNAVAILABLE, detail=detail)
        detail = (
            f"{self.address}: {detail}; the command may have taken effect, "
            "see 'galenashift status'"
        )
        return may_have_run(reason=Reason.PEER_UNAVAILABLE, detail=detail)
