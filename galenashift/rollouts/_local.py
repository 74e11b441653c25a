"""What one daemon knows of the rollout of a service, and what it does by that."""

from collections.abc import Collection
from dataclasses import dataclass

from galenashift.model import (
    Incarnation,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    VersionName,
)

from ._directive import Directive
from ._evidence import EvidenceKey, EvidenceReport, LocalEvidence, Side
from ._selection import CallShare, selection_point

#: Longest time that an order takes to reach a daemon, in seconds: the pause of the
#: watch in which changes are gathered.
ORDER_DELAY_S = 1.7
#: Time without the coordinator and the store after which a daemon that has seen a bad
#: answer sends nothing to the new version, in seconds.
_MAX_SILENCE_S = 2.0


@dataclass(frozen=True, kw_only=True)
class AllowedVersions:
    """The versions of a service that may get requests.

    :param only: The only versions; None for all but `never`.
    :param never: A version that may get none; None to allow all.
    """

    only: Collection[VersionName | None] | None = None
    never: VersionName | None = None

    def allows(self, version: VersionName | None) -> bool:
        """Tell whether a version may get requests."""
        if self.only is None:
            return self.never is None or version != self.never
        return version in self.only


class LocalRollout:
    """Rollout of one service as this daemon knows it.

    :param from_version: Version in force before the order, if known.
    :param now_s: Boot-time clock, in seconds.
    """

    def __init__(
        self,
        *,
        order: RolloutOrder,
        from_version: VersionName | None,
        now_s: float,
    ) -> None:
        self.order = order
        self.from_version = from_version
        #: Boot-time clock by which the rollout must have ended, in seconds.
        self.deadline_s = now_s + order.duration_s - ORDER_DELAY_S
        self.evidence = LocalEvidence()
        self.call_share = CallShare()
        #: Whether the store holds the end of the rollout.
        self.is_recorded = False
        #: Whether the next report must not wait for its interval.
        self.is_report_urgent = False
        #: Whether a coordinator at this daemon has got all counts.
        self.reports_to_itself = False
        self._directive = Directive(
            order_revision=order.revision,
            state=RolloutState.RUNNING,
            sequence=0,
            share=0.0,
        )
        self._last_contact_s = now_s
        self._has_bad_answer = False

    @property
    def directive(self) -> Directive:
        """The newest directive that this daemon knows."""
        return self._directive

    @property
    def state(self) -> RolloutState:
        """State of the rollout."""
        return self._directive.state

    def apply_directive(self, directive: Directive, *, now_s: float) -> bool:
        """Apply what the coordinator says.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether it changes anything.
        """
        if directive.order_revision != self.order.revision:
            return False
        self.note_contact(now_s=now_s)
        if not directive.supersedes(self._directive):
            return False
        self._directive = directive
        return True

    def apply_record(self, record: RolloutRecord, *, now_s: float) -> bool:
        """Apply a record of the store; the end that it holds is the one in force.

        :param now_s: Boot-time clock, in seconds.
        :returns: Whether it changes the directive.
        """
        if record.order_revision != self.order.revision:
            return False
        self.from_version = record.from_version
        self.deadline_s = min(self.deadline_s, now_s + record.remaining_s)
        if not record.state.is_final:
            return self.apply_directive(Directive.of_record(record), now_s=now_s)
        changed = record.state is not self.state
        self.is_recorded = True
        self._directive = Directive.of_record(record)
        return changed

    def note_contact(self, *, now_s: float) -> None:
        """Note that the coordinator has answered.

        :param now_s: Boot-time clock, in seconds.
        """
        self._last_contact_s = now_s
        self._has_bad_answer = False

    def note_bad_answer(self) -> None:
        """Note that the new version has given a bad answer here."""
        self._has_bad_answer = True

    def share(self, *, now_s: float) -> float:
        """Return the share of requests that go to the new version.

        :param now_s: Boot-time clock, in seconds.
        """
        match self.state:
            case RolloutState.DONE:
                return 1.0
            case RolloutState.ROLLED_BACK:
                return 0.0
            case RolloutState.RUNNING:
                silent_s = now_s - self._last_contact_s
                if self._has_bad_answer and silent_s > _MAX_SILENCE_S:
                    return 0.0
                return self._directive.share

    def side_of(self, version: VersionName | None) -> Side:
        """Return which of the two compared versions one is."""
        return Side.NEW if version == self.order.to else Side.OLD

    def selects_new(self, attempt_id: str, *, now_s: float) -> bool:
        """Tell whether a request goes to the new version.

        :param now_s: Boot-time clock, in seconds.
        """
        share = self.share(now_s=now_s)
        if share <= 0 or share >= 1:
            return share >= 1
        point = selection_point(attempt_id, order_revision=self.order.revision)
        return point < share

    def allowed(self, *, now_s: float) -> AllowedVersions:
        """Return the versions that may get requests.

        :param now_s: Boot-time clock, in seconds.
        """
        return allowed_versions(
            from_version=self.from_version,
            to=self.order.to,
            share=self.share(now_s=now_s),
        )

    def report(
        self,
        *,
        incarnation: Incarnation,
        open_old: int,
        full: bool,
        now_s: float,
        is_copy: bool = False,
    ) -> EvidenceReport:
        """Return what this daemon reports to the coordinator.

        :param open_old: Requests at upstreams of the old version.
        :param full: Whether to report all counts, and not only the changed ones.
        :param now_s: Boot-time clock, in seconds.
        :param is_copy: Whether another coordinator gets the same counts.
        """
        if is_copy:
            counts_by_key = self.evidence.all_counts()
        else:
            counts_by_key = self.evidence.take_changes(full=full)
        return EvidenceReport(
            order_revision=self.order.revision,
            incarnation=incarnation,
            sent_old=self.evidence.sent_by_side[Side.OLD],
            sent_new=self.evidence.sent_by_side[Side.NEW],
            open_old=open_old,
            state=self._directive.state,
            sequence=self._directive.sequence,
            share=self._directive.share,
            remaining_s=max(0.0, self.deadline_s - now_s),
            full=full or is_copy,
            counts_by_key=counts_by_key,
        )

    def record_answer(
        self, key: EvidenceKey, *, failed: bool, latency_s: float | None
    ) -> None:
        """Count an answer.

        :param latency_s: None if it is not to be compared.
        """
        self.evidence.record_answer(key, failed=failed, latency_s=latency_s)
        if failed and key.side is Side.NEW:
            self.is_report_urgent = True
            self.note_bad_answer()


def allowed_versions(
    *, from_version: VersionName | None, to: VersionName, share: float
) -> AllowedVersions:
    """Return the versions that may get requests at a share of the new version."""
    if share >= 1:
        return AllowedVersions(only=(to,))
    if from_version is None:
        return AllowedVersions(never=None if share > 0 else to)
    if share > 0:
        return AllowedVersions(only=(from_version, to))
    if from_version == to:
        return AllowedVersions(only=(to,))
    return AllowedVersions(only=(from_version,))
