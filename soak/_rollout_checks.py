"""Checks of the guarantees of rollouts, from the records of the upstreams."""

from collections.abc import Sequence
from dataclasses import dataclass

from galenashift.model import RolloutState

from ._checks import CONTACT_S

#: Bounds of the settings of the daemons.
EXPOSURE_SHARE = 0.1
EXPOSURE_EXTRA = 50
ROLLBACK_S = 5.0
#: Bad answers from which the time for the rollback runs.
_ROLLBACK_ANSWERS = 50


@dataclass(frozen=True, kw_only=True)
class SentToVersion:
    """A request that reached an upstream of the service."""

    version: str
    arrived_at_s: float
    #: The time of its arrival if it is not known.
    sent_at_s: float
    #: The daemon that sent it; None if it is not known, as when its end was not logged.
    daemon: str | None


@dataclass(frozen=True, kw_only=True)
class OutOfContact:
    """Time for which a daemon could not reach the store, in seconds."""

    #: None for all daemons.
    daemon: str | None
    from_s: float
    to_s: float


@dataclass(frozen=True, kw_only=True)
class RolloutResult:
    """An order and what became of it."""

    version: str
    is_bad: bool
    ordered_at_s: float
    deadline_s: float
    #: Time at which another order replaced it; None if none did.
    replaced_at_s: float | None
    #: State of the status and when it was written; None if it never ended.
    state: RolloutState | None
    ended_at_s: float | None
    #: States of the status after the first final one.
    later_states: Sequence[RolloutState]
    #: Times of the bad answers of the version.
    bad_at_s: Sequence[float]


def check_rollouts(
    results: Sequence[RolloutResult],
    sent: Sequence[SentToVersion],
    contact_losses: Sequence[OutOfContact],
    *,
    first_version: str,
    is_undisturbed: bool,
) -> list[str]:
    """Return a description of each violated guarantee.

    :param first_version: Version in force before the first order.
    :param is_undisturbed: Whether the plan has one order and no fault, so that nothing
        but its answers can let a version be rolled back.
    """
    violations = []
    known = {first_version, *(each.version for each in results)}
    for version in {each.version for each in sent} - known:
        violations.append(f"{version}: got requests without an order")
    for result in results:
        arrived = [each for each in sent if each.version == result.version]
        violations += _check_order(result, arrived, contact_losses)
        violations += _check_exposure(result, arrived, sent)
        violations += _check_rollback(result, arrived, contact_losses)
        violations += _check_end(result, contact_losses)
        if (
            is_undisturbed
            and not result.is_bad
            and result.state is RolloutState.ROLLED_BACK
        ):
            violations.append(f"{result.version}: good, but rolled_back")
    violations += _check_version_in_force(results, sent, contact_losses, first_version)
    return violations


def _check_order(
    result: RolloutResult,
    arrived: Sequence[SentToVersion],
    contact_losses: Sequence[OutOfContact],
) -> list[str]:
    """Check that the version gets requests only while its order is in force."""
    violations = []
    if result.later_states:
        states = ", ".join(each.value for each in result.later_states)
        violations.append(f"{result.version}: changed to {states} after its end")
    early = [
        each
        for each in arrived
        if min(each.sent_at_s, each.arrived_at_s) < result.ordered_at_s
    ]
    if early:
        violations.append(f"{result.version}: {len(early)} requests before its order")
    if result.replaced_at_s is not None:
        limit_s = result.replaced_at_s + CONTACT_S
        late = _after(arrived, limit_s, contact_losses, grace_s=CONTACT_S)
        violations += _describe(result, late, limit_s, "its order was replaced")
    if result.state is RolloutState.ROLLED_BACK and result.ended_at_s is not None:
        limit_s = result.ended_at_s
        late = _after(arrived, limit_s, contact_losses, grace_s=CONTACT_S)
        violations += _describe(result, late, limit_s, "rolled_back")
    return violations


def _check_exposure(
    result: RolloutResult,
    arrived: Sequence[SentToVersion],
    sent: Sequence[SentToVersion],
) -> list[str]:
    if not result.is_bad:
        return []
    end_s = result.deadline_s
    if result.replaced_at_s is not None:
        end_s = min(end_s, result.replaced_at_s + CONTACT_S)
    period = (result.ordered_at_s, end_s)
    exposed = sum(period[0] <= each.arrived_at_s <= period[1] for each in arrived)
    total = sum(period[0] <= each.arrived_at_s <= period[1] for each in sent)
    allowed = EXPOSURE_SHARE * total + EXPOSURE_EXTRA
    if exposed <= allowed:
        return []
    return [f"{result.version}: {exposed} of {total} requests, {allowed:.1f} allowed"]


def _check_rollback(
    result: RolloutResult,
    arrived: Sequence[SentToVersion],
    contact_losses: Sequence[OutOfContact],
) -> list[str]:
    if len(result.bad_at_s) < _ROLLBACK_ANSWERS or not result.is_bad:
        return []
    limit_s = sorted(result.bad_at_s)[_ROLLBACK_ANSWERS - 1] + ROLLBACK_S
    late = _after(arrived, limit_s, contact_losses, grace_s=CONTACT_S)
    return _describe(result, late, limit_s, "the time for the rollback")


def _check_end(
    result: RolloutResult, contact_losses: Sequence[OutOfContact]
) -> list[str]:
    if result.replaced_at_s is not None:
        return []
    # Nobody can write the end to a store that is away.
    limit_s = max(
        [result.deadline_s]
        + [
            each.to_s + CONTACT_S
            for each in contact_losses
            if each.daemon is None and each.from_s < result.deadline_s
        ]
    )
    if result.ended_at_s is not None and result.ended_at_s <= limit_s:
        return []
    ended = "not" if result.ended_at_s is None else f"at {result.ended_at_s:.2f} s"
    return [
        f"{result.version}: ended {ended}, the deadline was {result.deadline_s:.2f} s"
    ]


def _check_version_in_force(
    results: Sequence[RolloutResult],
    sent: Sequence[SentToVersion],
    contact_losses: Sequence[OutOfContact],
    first_version: str,
) -> list[str]:
    """Check that requests reach only the version in force after the last order."""
    last = results[-1]
    if last.ended_at_s is None or last.replaced_at_s is not None:
        return []
    done = [
        each.version
        for each in results
        if each.state is RolloutState.DONE and each.replaced_at_s is None
    ]
    in_force = [first_version, *done][-1]
    limit_s = last.ended_at_s + CONTACT_S
    violations = []
    if not any(each.version == in_force and each.sent_at_s > limit_s for each in sent):
        violations.append(f"{in_force}: in force, but got no requests after the end")
    others = [each for each in sent if each.version != in_force]
    late = _after(others, limit_s, contact_losses, grace_s=CONTACT_S)
    for version in sorted({each.version for each in late}):
        count = sum(each.version == version for each in late)
        violations.append(f"{version}: {count} requests while {in_force} is in force")
    return violations


def _after(
    arrived: Sequence[SentToVersion],
    limit_s: float,
    contact_losses: Sequence[OutOfContact],
    *,
    grace_s: float,
) -> list[SentToVersion]:
    """Return the requests after a time that daemons in contact with the store sent.

    :param grace_s: Time that a daemon has after it has reached the store again.
    """
    return [
        each
        for each in arrived
        if each.sent_at_s > limit_s
        and not any(
            loss.from_s <= each.sent_at_s <= loss.to_s + grace_s
            and loss.daemon in ({None} if each.daemon is None else {None, each.daemon})
            for loss in contact_losses
        )
    ]


def _describe(
    result: RolloutResult, late: Sequence[SentToVersion], limit_s: float, limit: str
) -> list[str]:
    if not late:
        return []
    last_s = max(each.sent_at_s for each in late) - limit_s
    return [
        f"{result.version}: {len(late)} requests up to {last_s:.2f} s after {limit}"
    ]
