"""Stand-in of the platform's instance list, by HTTP/JSON (docs/PROTOCOLS.md)."""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from galenashift.model import boot_time_s

from ._control import Request, Response

_Instances = list[dict[str, Any]]


class InstanceList:
    """Handler that serves the list which tests set, with a lag."""

    def __init__(self, *, lag_s: float) -> None:
        self._lag_s = lag_s
        self._polls = 0
        #: Lists with the time at which they were set, oldest first.
        self._history: list[tuple[float, _Instances]] = [(float("-inf"), [])]

    def configure(self, options: Mapping[str, Any]) -> None:
        """Apply the options ``instances`` (the whole list) and ``lag_s``."""
        self._lag_s = float(options.get("lag_s", self._lag_s))
        if "instances" in options:
            self._history.append((boot_time_s(), list(options["instances"])))

    def record(self) -> Mapping[str, Any]:
        """Return the number of polls and the latest list."""
        return {"polls": self._polls, "instances": self._history[-1][1]}

    async def handle(self, request: Request) -> Response:
        """Answer a poll, which may be conditional (If-None-Match)."""
        if (request.method, request.path) != ("GET", "/v1/instances"):
            return Response(status=404, body={"error": f"unknown call {request.path}"})
        self._polls += 1
        cutoff_s = boot_time_s() - self._lag_s
        instances = [each for at_s, each in self._history if at_s <= cutoff_s][-1]
        digest = hashlib.sha256(json.dumps(instances, sort_keys=True).encode())
        etag = f'"{digest.hexdigest()[:16]}"'
        if request.headers.get("if-none-match") == etag:
            return Response(status=304, headers={"etag": etag})
        return Response(body={"instances": instances}, headers={"etag": etag})
