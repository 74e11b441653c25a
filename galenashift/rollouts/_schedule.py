"""Plans how the share of a new version grows until the deadline of its rollout."""

from dataclasses import dataclass

from galenashift.model import RolloutBounds

#: Share of the first step, at which a version that fails at once shows it.
FIRST_SHARE = 0.02
#: Largest share of the second step, in which most of the time is spent.
_MAX_CANARY_SHARE = 0.3
#: Fraction of the allowance that the second step uses up.
_CANARY_ALLOWANCE = 0.4
#: Shares of the last steps before all traffic moves. They are taken late, as requests
#: to a version that turns bad later count as well.
_RAMP_SHARES = (0.12, 0.25, 0.5)
_SHORT_RAMP_SHARES = (0.25, 0.5)
#: Share of the first step if there is little time.
_SHORT_FIRST_SHARE = 0.05
#: Duration below which the ramp is short, in seconds.
_SHORT_DURATION_S = 20.0
#: Fraction of the duration for which each step of the ramp lasts, and its bounds in
#: seconds. Each step takes a write to the store, of which there is one in a second.
_RAMP_STEP_RATIO = 0.015
_MIN_RAMP_STEP_S = 1.05
_MAX_RAMP_STEP_S = 4.0
#: Fraction of the duration that is left for open requests on old upstreams after all
#: traffic has moved, and its bounds in seconds.
_SETTLE_RATIO = 0.05
_MIN_SETTLE_S = 2.0
_MAX_SETTLE_S = 15.0
#: Fraction of the duration that is left at the end, and its lower bound in seconds.
_RESERVE_RATIO = 0.04
_MIN_RESERVE_S = 1.0
#: Longest first step, in seconds, and as a fraction of the duration.
_FIRST_STEP_S = 2.0
_FIRST_STEP_RATIO = 0.1
#: Fraction of the time left for open requests for which all traffic is observed, and
#: its bounds in seconds.
_SOAK_RATIO = 0.4
_MIN_SOAK_S = 1.0
_MAX_SOAK_S = 6.0
#: Fraction of the duration after which an unchanged record is written again, and its
#: bounds in seconds. Each write wakes the watches of all daemons.
_RECORD_RATIO = 1 / 15
_MIN_RECORD_INTERVAL_S = 2.5
_MAX_RECORD_INTERVAL_S = 8.0


@dataclass(frozen=True, kw_only=True)
class Step:
    """A share and when it may begin."""

    share: float
    #: Earliest time after the order, in seconds.
    not_before_s: float
    #: Shortest duration of the step before, in seconds.
    after_s: float


def allowance(bounds: RolloutBounds, *, requests: float) -> float:
    """Return how many requests a bad version may get.

    :param requests: Requests of the service until the deadline.
    """
    return bounds.exposure_share * requests + bounds.exposure_extra


def plan_steps(
    *, duration_s: float, requests: float, bounds: RolloutBounds
) -> tuple[Step, ...]:
    """Plan the shares of a rollout, in increasing order.

    :param duration_s: Time from the order to the deadline, in seconds.
    :param requests: Expected requests of the service in that time.
    """
    is_short = duration_s < _SHORT_DURATION_S
    ramp = _SHORT_RAMP_SHARES if is_short else _RAMP_SHARES
    step_s = _clamp(_RAMP_STEP_RATIO * duration_s, _MIN_RAMP_STEP_S, _MAX_RAMP_STEP_S)
    settle_s = _clamp(_SETTLE_RATIO * duration_s, _MIN_SETTLE_S, _MAX_SETTLE_S)
    reserve_s = max(_MIN_RESERVE_S, _RESERVE_RATIO * duration_s)
    full_at_s = max(0.0, duration_s - reserve_s - settle_s)
    first_step_s = min(_FIRST_STEP_S, _FIRST_STEP_RATIO * duration_s)
    canary = canary_share(requests=requests, bounds=bounds)
    first = _SHORT_FIRST_SHARE if is_short else FIRST_SHARE
    steps = [
        Step(share=min(first, canary), not_before_s=0.0, after_s=0.0),
        Step(share=canary, not_before_s=first_step_s, after_s=first_step_s),
    ]
    for index, share in enumerate(ramp):
        if share > canary:
            at_s = max(first_step_s, full_at_s - step_s * (len(ramp) - index))
            steps.append(Step(share=share, not_before_s=at_s, after_s=step_s))
    steps.append(Step(share=1.0, not_before_s=full_at_s, after_s=step_s))
    return tuple(steps)


def canary_share(*, requests: float, bounds: RolloutBounds) -> float:
    """Return the share of the step in which most of the time is spent."""
    allowed = _CANARY_ALLOWANCE * allowance(bounds, requests=max(1.0, requests))
    return min(_MAX_CANARY_SHARE, allowed / max(1.0, requests))


def soak_s(duration_s: float) -> float:
    """Return how long all traffic is observed before a rollout is done, in seconds."""
    soak = _SOAK_RATIO * _SETTLE_RATIO * duration_s
    return _clamp(soak, _MIN_SOAK_S, _MAX_SOAK_S)


def record_interval_s(duration_s: float) -> float:
    """Return the time after which an unchanged record is written again, in seconds.

    A daemon that takes over from the record alone errs by this time.
    """
    interval_s = _RECORD_RATIO * duration_s
    return _clamp(interval_s, _MIN_RECORD_INTERVAL_S, _MAX_RECORD_INTERVAL_S)


def _clamp(value: float, lowest: float, highest: float) -> float:
    return max(lowest, min(highest, value))
