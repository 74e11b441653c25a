"""Selects the version that gets a call of a stage, and counts what came of it."""

from collections.abc import Callable, Mapping, Sequence

from galenashift.model import RegisteredUpstream, RouteName, ServiceName
from galenashift.rollouts import EvidenceKey, LocalRollout, Side

from ._outcomes import NotSent, Outcome, Refused
from ._rollout_answers import RolloutAnswers, is_new
from ._upstream_registry import KnownUpstream
from ._view import PlatformView

#: Name under which calls of stages are compared.
_STAGE_ROUTE = RouteName("stage-calls")
#: Share of the calls from which the new version gets as many as the old one, so that
#: its upstreams count in full. Below it, they count by the ratio of both shares.
_EVEN_SHARE = 0.5


class RolloutCalls:
    """Calls of stages to services that are rolled out.

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

    def offered(
        self,
        service: ServiceName,
        known: Sequence[KnownUpstream],
        *,
        is_idle: Callable[[KnownUpstream], bool],
    ) -> Sequence[KnownUpstream]:
        """Leave out upstreams of a version that has got its share of the calls.

        :param is_idle: Tells whether an upstream could get a call now.
        """
        local = self._local_by_service.get(service)
        if local is None:
            return known
        share = local.share(now_s=self._clock())
        old = [each for each in known if not is_new(local, each)]
        if share >= 1 or not old:
            return known
        new = [each for each in known if is_new(local, each) and is_idle(each)]
        new = new[: local.call_share.due_calls]
        return new if new and local.call_share.is_overdue else [*old, *new]

    def allows(self, upstream: RegisteredUpstream) -> bool:
        """Tell whether the version of an upstream may get a call now."""
        return self._view.rollouts.allows(upstream)

    def call_weight(self, upstream: RegisteredUpstream) -> float:
        """Return the part of an upstream's calls that its version can get."""
        local = self._local_by_service.get(upstream.service)
        if local is None or local.side_of(upstream.version) is Side.OLD:
            return 1.0
        share = local.share(now_s=self._clock())
        return 1.0 if share >= _EVEN_SHARE else share / (1 - share)

    def record_call_sent(self, upstream: RegisteredUpstream) -> None:
        """Count a call of a stage that is about to be made."""
        local = self._local_by_service.get(upstream.service)
        if local is not None:
            side = local.side_of(upstream.version)
            local.evidence.record_send(side)
            share = local.share(now_s=self._clock())
            local.call_share.record_call(is_new=side is Side.NEW, share=share)

    def record_call(
        self,
        upstream: KnownUpstream,
        outcome: Outcome,
        *,
        failed: bool,
        slowness: float,
    ) -> None:
        """Count the outcome of a call of a stage.

        :param failed: Whether a piece has no result.
        :param slowness: Duration as a multiple of the expected one.
        """
        local = self._local_by_service.get(upstream.registration.service)
        if local is None or isinstance(outcome, NotSent | Refused):
            return
        key = EvidenceKey(
            side=local.side_of(upstream.registration.version), route=_STAGE_ROUTE
        )
        self._answers.record(local, key, upstream, failed=failed, latency_s=slowness)
