"""What the gathering daemon knows of each stage upstream."""

from dataclasses import dataclass, field

from galenashift.model import Handle, PieceLimits, UpstreamId
from galenashift.platform import expected_upstream

from ._exchange import OutgoingRequest
from ._stage_queue import SMALL_RESULT_PART
from ._view import KnownUpstream

#: First time in which an upstream without room gets small results only, in seconds.
FIRST_FULL_S = 0.08


@dataclass(kw_only=True)
class StageUpstream:
    """State of one stage upstream."""

    busy: bool = False
    free_at_s: float = 0.0
    slowness: float = 1.0
    paused_until_s: float = 0.0
    full_until_s: float = 0.0
    full_s: float = FIRST_FULL_S
    #: Size and end of life of the results that the upstream keeps.
    results: dict[Handle, tuple[int, float]] = field(default_factory=dict)
    #: Bytes of the results that the present call makes.
    pending_bytes: int = 0

    def used_bytes(self, *, now_s: float) -> float:
        kept = sum(size for size, ends_s in self.results.values() if ends_s > now_s)
        return kept + self.pending_bytes

    def free_bytes(self, limits: PieceLimits, *, now_s: float) -> float:
        free_bytes = limits.result_bytes - self.used_bytes(now_s=now_s)
        if now_s < self.full_until_s:
            return min(free_bytes, SMALL_RESULT_PART * limits.result_bytes)
        return free_bytes


class StageUpstreams:
    """State of all stage upstreams that this daemon calls."""

    def __init__(self) -> None:
        self._by_id: dict[UpstreamId, StageUpstream] = {}

    def of(self, upstream_id: UpstreamId) -> StageUpstream:
        """Return the state of an upstream."""
        return self._by_id.setdefault(upstream_id, StageUpstream())

    def all(self) -> list[StageUpstream]:
        """Return the states of all upstreams."""
        return list(self._by_id.values())


def stage_request(
    upstream: KnownUpstream, *, path: str, body: bytes
) -> OutgoingRequest:
    """Make a call of a stage upstream.

    :param path: Path of the call.
    :param body: JSON body.
    """
    registration = upstream.registration
    host = f"{registration.host}:{registration.port}".encode()
    return OutgoingRequest(
        attempt_id=None,
        method="POST",
        target=path,
        headers=[
            (b"host", host),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            expected_upstream(registration.upstream_id),
        ],
        body=body,
        repeatable=True,
    )
