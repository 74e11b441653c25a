"""Decides when the share of a new version grows."""

from dataclasses import dataclass

from galenashift.model import RolloutBounds

from ._schedule import Step, allowance, plan_steps

#: Answers of the new version from which the share may grow beyond what
#: `exposure_extra` covers.
_MIN_ANSWERS = 10
#: Ratio of the requests that the new version must have got to those of its share.
#: Cold upstreams take fewer, and more would have to wait.
_MIN_SENT_RATIO = 0.5
#: Requests of the share from which that ratio is known.
_MIN_SENT = 10.0
#: Part of the allowance that may be used up before all traffic moves.
_ALLOWANCE_MARGIN = 0.9
#: Part of `exposure_extra` within which the share grows without evidence.
_EXTRA_MARGIN = 0.8
#: Time for which requests still go to a version after its last bad answer, in seconds.
_REACTION_S = 1.0
#: Factor on the rate of requests so far, for expectations on the high or low side.
_HIGH_RATE = 1.2
_LOW_RATE = 0.8
#: Ratio of two shares from which they are different steps.
_MIN_STEP_RATIO = 1.3
#: Requests per slot of the new version, compared with the old one, up to which the
#: share grows.
_MAX_LOAD_RATIO = 1.5


@dataclass(frozen=True, kw_only=True)
class VersionCapacity:
    """Slots of the upstreams of both versions that accept requests."""

    old_slots: int
    new_slots: int


@dataclass(frozen=True, kw_only=True)
class Progress:
    """Where a rollout stands."""

    share: float
    #: Time since the share has been in force, and since the order, in seconds.
    in_step_s: float
    elapsed_s: float
    duration_s: float
    #: Requests that were sent to the new version, and to both versions.
    exposure: int
    requests: int
    #: Requests per second of the service; None while the rate is not known.
    rate_per_s: float | None
    #: Answers of the new version.
    answers: int
    #: Requests that were sent to each version since the share has been in force.
    new_in_step: int
    old_in_step: int
    is_suspect: bool

    @property
    def expected_requests(self) -> float:
        """Requests of the service until the deadline, on the low side."""
        left_s = max(0.0, self.duration_s - self.elapsed_s)
        return self.requests + _LOW_RATE * (self.rate_per_s or 0.0) * left_s


@dataclass(frozen=True, kw_only=True)
class Growth:
    """Another share, and why it is taken, or why it is not taken yet."""

    share: float
    cause: str = ""
    #: What keeps the share from changing; empty if it changes.
    held_by: str = ""


def next_growth(
    progress: Progress, capacity: VersionCapacity, bounds: RolloutBounds
) -> Growth:
    """Decide on the next share."""
    steps = plan_steps(
        duration_s=progress.duration_s,
        requests=progress.expected_requests,
        bounds=bounds,
    )
    canary = steps[1].share
    ramp_shares = {each.share for each in steps[2:]}
    if progress.share > _MIN_STEP_RATIO * canary and progress.share not in ramp_shares:
        return Growth(share=canary, cause="more requests than expected")
    late = progress.elapsed_s >= steps[-1].not_before_s
    # Without time for more steps, all traffic moves on the evidence of this one.
    remaining = steps[-1:] if late and progress.share else steps
    least = _MIN_STEP_RATIO * progress.share
    step = next(each for each in remaining if each.share >= least or each is steps[-1])
    held_by = _obstacle(progress, step, capacity, bounds, late=late)
    return Growth(share=step.share, cause="good answers", held_by=held_by)


def _obstacle(
    progress: Progress,
    step: Step,
    capacity: VersionCapacity,
    bounds: RolloutBounds,
    *,
    late: bool,
) -> str:
    """Return why the share does not grow, or nothing if it does."""
    if not capacity.new_slots:
        return "no upstream of the version"
    if progress.elapsed_s < step.not_before_s:
        return "schedule"
    if progress.is_suspect:
        return "suspect answers"
    load_ratio = step.share * capacity.old_slots / capacity.new_slots
    if load_ratio > _MAX_LOAD_RATIO and not late:
        return "too few upstreams"
    if not progress.share:
        return ""
    if progress.in_step_s < step.after_s:
        return "duration of the step"
    if progress.rate_per_s is None:
        return "unknown rate of requests"
    if _is_short_of_requests(progress):
        return "upstreams that take less than their share"
    return _exposure_obstacle(progress, step, bounds)


def _is_short_of_requests(progress: Progress) -> bool:
    expected = progress.share * (progress.new_in_step + progress.old_in_step)
    return expected >= _MIN_SENT and progress.new_in_step < _MIN_SENT_RATIO * expected


def _exposure_obstacle(progress: Progress, step: Step, bounds: RolloutBounds) -> str:
    """Tell whether the allowance covers a version that turns bad at the step."""
    rate = _HIGH_RATE * (progress.rate_per_s or 0.0)
    exposed = progress.exposure + rate * step.share * (step.after_s + _REACTION_S)
    if (
        progress.answers < _MIN_ANSWERS
        and exposed > _EXTRA_MARGIN * bounds.exposure_extra
    ):
        return "too few answers"
    # All traffic moves even if a version that turned bad just then would exceed the
    # allowance, as a good one must be done by the deadline.
    allowed = allowance(bounds, requests=progress.expected_requests)
    if step.share < 1.0 and exposed > _ALLOWANCE_MARGIN * allowed:
        return "exposure"
    return ""
