"""What the coordinator of a rollout tells the other daemons."""

from dataclasses import dataclass

from galenashift.model import RolloutRecord, RolloutState

from ._evidence import EvidenceReport


@dataclass(frozen=True, kw_only=True)
class Directive:
    """The share in force."""

    order_revision: int
    state: RolloutState
    #: Grows with each change; a directive with a lower one is late.
    sequence: int
    #: Share of requests that go to the new version, from 0 to 1.
    share: float
    #: Whether the receiver must report all its counts.
    resend: bool = False

    @staticmethod
    def of_record(record: RolloutRecord) -> "Directive":
        """Return what a record of the store tells."""
        return Directive(
            order_revision=record.order_revision,
            state=record.state,
            sequence=record.sequence,
            share=record.share,
        )

    @staticmethod
    def of_report(report: EvidenceReport) -> "Directive":
        """Return what the sender of a report follows."""
        return Directive(
            order_revision=report.order_revision,
            state=report.state,
            sequence=report.sequence,
            share=report.share,
        )

    def supersedes(self, other: "Directive") -> bool:
        """Tell whether this is newer than another directive on the same order.

        The end of a rollout is final, also for a coordinator that was cut off.
        """
        if other.state.is_final:
            return False
        return self.state.is_final or self.sequence > other.sequence
