"""Selects the version that serves a request, and counts what came of it."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from galenashift.model import RegisteredUpstream, ServiceName, UpstreamId
from galenashift.rollouts import EvidenceKey, LocalRollout, size_class

from ._outcomes import Answered, Broken, NotSent, Outcome, Refused, Silent, StreamEnded
from ._request import ActiveRequest
from ._rollout_answers import RolloutAnswers, is_new
from ._stream import StreamWriter
from ._upstream_registry import KnownUpstream
from ._view import PlatformView

#: Lowest HTTP status that counts as a failure of the version.
_SERVER_ERROR = 500


class RolloutRequests:
    """Requests to services that are rolled out.

    Without a rollout of its service, a request costs one look-up.

    :param local_by_service: Rollouts in which this daemon takes part.
    :param clock: Boot-time clock.
    """

    def __init__(
        self,
        *,
        local_by_service: Mapping[ServiceName, LocalRollout],
        answers: RolloutAnswers,
        view: PlatformView,
        clock: Callable[[], float],
    ) -> None:
        self._local_by_service = local_by_service
        self._answers = answers
        self._view = view
        self._clock = clock

    def candidate_groups(
        self, job: ActiveRequest, known: Sequence[KnownUpstream]
    ) -> Iterable[Sequence[KnownUpstream]]:
        """Divide upstreams by version, in the order in which they are to be tried.

        A request whose version has no upstream for it now goes to the old one. One
        that the new version has answered badly is sent again to the old one.
        """
        local = self._local_by_service.get(job.service)
        if local is None:
            return (known,)
        old = [each for each in known if not is_new(local, each)]
        if not old:
            return (known,)
        now_s = self._clock()
        if not local.selects_new(job.fields.attempt_id, now_s=now_s):
            return (old,)
        if any(self._was_tried(local, each) for each in job.tried):
            return (old,)
        return ([each for each in known if is_new(local, each)], old)

    def _was_tried(self, local: LocalRollout, upstream_id: UpstreamId) -> bool:
        known = self._view.find(upstream_id)
        return known is not None and is_new(local, known)

    def record_send(self, upstream: RegisteredUpstream) -> None:
        """Count a request that is about to be sent."""
        local = self._local_by_service.get(upstream.service)
        if local is not None:
            local.evidence.record_send(local.side_of(upstream.version))

    def record_outcome(
        self,
        job: ActiveRequest,
        upstream: KnownUpstream,
        outcome: Outcome,
        writer: StreamWriter,
        *,
        now_s: float,
    ) -> None:
        """Count the outcome of an exchange.

        Refusals say nothing on the version, as the request has not run.
        :param now_s: Boot-time clock, in seconds.
        """
        local = self._local_by_service.get(job.service)
        if local is None:
            return
        elapsed_s = now_s - writer.sent_at_s
        match outcome:
            case NotSent() | Refused():
                return
            case Answered(head=head):
                failed = head.status >= _SERVER_ERROR
                first_s, total_s = elapsed_s, None
            case StreamEnded(complete=True):
                failed, first_s, total_s = False, writer.first_byte_s, elapsed_s
            case Broken() | Silent() | StreamEnded():
                failed, first_s, total_s = True, elapsed_s, None
        key = _evidence_key(local, job, upstream)
        self._answers.record(
            local, key, upstream, failed=failed, latency_s=first_s, total_s=total_s
        )


def _evidence_key(
    local: LocalRollout, job: ActiveRequest, upstream: KnownUpstream
) -> EvidenceKey:
    tokens = sum(each.tokens for each in job.fields.prompt_parts)
    return EvidenceKey(
        side=local.side_of(upstream.registration.version),
        route=job.route.name,
        size_class=size_class(tokens),
    )
