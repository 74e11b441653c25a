"""State that the batching daemon keeps for each stage upstream."""

from dataclasses import dataclass, field

from galenashift.model import Handle, PieceLimits, UpstreamId
from galenashift.platform import expected_upstream_header

from ._exchange import OutgoingRequest
from ._outcomes import Answered, Outcome, Refused
from ._slowness import ReportedSlowness, ReportLifetime
from ._stage_plan import SMALL_RESULT_FRACTION
from ._upstream_registry import KnownUpstream

#: First period in which an upstream that reported full memory gets only pieces with
#: small results, in seconds.
INITIAL_MEMORY_BACKOFF_S = 0.08
#: Largest answer to a call of a stage upstream, in bytes.
MAX_STAGE_ANSWER_BYTES = 1_000_000
#: Weight of a new sample in the moving averages of an upstream's slowness.
_SLOWNESS_WEIGHT = 0.5


@dataclass(kw_only=True)
class StageUpstream:
    """State of one stage upstream."""

    busy: bool = False
    free_at_s: float = 0.0
    #: Moving average of the duration of calls, as a ratio of the nominal one.
    slowness: float = 1.0
    #: How long work takes at present, by the reports of the upstream.
    reported: ReportedSlowness = field(
        default_factory=lambda: ReportedSlowness(sample_weight=_SLOWNESS_WEIGHT)
    )
    backoff_until_s: float = 0.0
    memory_backoff_until_s: float = 0.0
    memory_backoff_s: float = INITIAL_MEMORY_BACKOFF_S
    #: Stored results with their size, in bytes, and their expiry time on the boot-time
    #: clock, in seconds.
    results: dict[Handle, tuple[int, float]] = field(default_factory=dict)
    #: Size of the results of the call in progress, in bytes.
    pending_bytes: int = 0

    def record_call(self, *, elapsed_s: float, nominal_s: float) -> None:
        """Record the duration of a call, in seconds."""
        sample = max(0.5, elapsed_s / nominal_s)
        self.slowness += _SLOWNESS_WEIGHT * (sample - self.slowness)

    def record_outcome(self, outcome: Outcome, *, now_s: float) -> None:
        """Record what the answer to a call reports.

        :param now_s: Boot-time clock, in seconds.
        """
        match outcome:
            case Answered(fields=fields) | Refused(fields=fields, misdirected=False):
                if fields.load is not None and fields.load.slowness is not None:
                    self.reported.record(fields.load.slowness, now_s=now_s)
            case _:
                pass

    def expected_slowness(self, *, nominal_s: float, now_s: float) -> float:
        """Return the expected duration of a call now, as a ratio of the nominal one.

        :param nominal_s: Nominal duration of the call, in seconds.
        :param now_s: Boot-time clock, in seconds.
        """
        duration_s = nominal_s * self.slowness
        return self.slowness * self.reported.factor(duration_s=duration_s, now_s=now_s)

    def used_bytes(self, *, now_s: float) -> float:
        stored = sum(
            size for size, expires_s in self.results.values() if expires_s > now_s
        )
        return stored + self.pending_bytes

    def free_bytes(self, limits: PieceLimits, *, now_s: float) -> float:
        free_bytes = limits.result_bytes - self.used_bytes(now_s=now_s)
        if now_s < self.memory_backoff_until_s:
            return min(free_bytes, SMALL_RESULT_FRACTION * limits.result_bytes)
        return free_bytes


class StageUpstreams:
    """State of all stage upstreams that this daemon calls."""

    def __init__(self) -> None:
        self._by_id: dict[UpstreamId, StageUpstream] = {}
        #: How fast the weight of slowness reports decreases.
        self.report_lifetime = ReportLifetime()

    def state(self, upstream_id: UpstreamId) -> StageUpstream:
        """Return the state of an upstream."""
        state = self._by_id.get(upstream_id)
        if state is None:
            state = self._by_id[upstream_id] = StageUpstream()
            state.reported.lifetime = self.report_lifetime
        return state

    def open_work(self, upstream_id: UpstreamId, *, now_s: float) -> int:
        """Return the number of calls and results at an upstream.

        :param now_s: Boot-time clock, in seconds.
        """
        state = self._by_id.get(upstream_id)
        if state is None:
            return 0
        return state.busy + sum(
            expires_s > now_s for _, expires_s in state.results.values()
        )

    def states(self) -> list[StageUpstream]:
        """Return the states of all upstreams."""
        return list(self._by_id.values())


def stage_request(
    upstream: KnownUpstream, *, path: str, body: bytes, ends_limit: bool = True
) -> OutgoingRequest:
    """Build the request for a call of a stage upstream.

    :param path: Path of the call.
    :param body: JSON body.
    :param ends_limit: Whether an answer that states no rate limit ends one.
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
            expected_upstream_header(registration.upstream_id),
        ],
        body=body,
        repeatable=True,
        max_answer_bytes=MAX_STAGE_ANSWER_BYTES,
        ends_limit=ends_limit,
    )
