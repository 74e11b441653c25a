"""What is known about crashes of upstreams."""

from collections import OrderedDict
from collections.abc import ItemsView, ValuesView
from dataclasses import dataclass, field

from galenashift.model import CrashId, CrashSuspects, SuspectId

from ._crash_causes import SuspectedCrashes

#: Time for which a crash is remembered after it, and after the last request with its
#: cause, in seconds.
CRASH_LIFETIME_S = 600.0
#: Crashes that are remembered; the oldest is dropped.
MAX_CRASHES = 256


@dataclass(kw_only=True, eq=False)
class KnownCrash:
    """A crash of one upstream, with the suspects that daemons have reported."""

    recorded_at_s: float
    expires_at_s: float
    #: Time until which the store holds a report of the crash.
    stored_until_s: float = 0.0
    #: Suspects in requests without a whole event, and in others; without those that
    #: were cleared since.
    not_begun: dict[SuspectId, int] = field(default_factory=dict)
    begun: dict[SuspectId, int] = field(default_factory=dict)
    #: Suspects with which a request had completed before, and those on trial.
    completed: set[SuspectId] = field(default_factory=set)
    tried: set[SuspectId] = field(default_factory=set)
    #: Suspects that did not cause the crash, as requests with them completed since.
    cleared: set[SuspectId] = field(default_factory=set)
    #: Those of which this daemon reports it, and those of which the store knows it.
    queued_clearances: set[SuspectId] = field(default_factory=set)
    stored_clearances: set[SuspectId] = field(default_factory=set)
    #: Those that the store knew and has lost.
    lost_clearances: set[SuspectId] = field(default_factory=set)

    @property
    def suspects(self) -> CrashSuspects:
        """Suspects that may be the cause."""
        return CrashSuspects(
            not_begun=self.not_begun,
            begun=self.begun,
            completed=frozenset(self.completed),
            tried=frozenset(self.tried),
        )

    def names(self, suspect: SuspectId) -> bool:
        """Tell whether a suspect was reported and is not cleared."""
        return suspect in self.not_begun or suspect in self.begun

    def clear(self, suspect: SuspectId) -> None:
        """Clear a suspect for good, also if a report names it later."""
        self.not_begun.pop(suspect, None)
        self.begun.pop(suspect, None)
        self.cleared.add(suspect)

    def is_clearance_reported(self, suspect: SuspectId) -> bool:
        """Tell whether other daemons know, or are being told, that it was cleared."""
        return suspect in self.queued_clearances or suspect in self.stored_clearances


class KnownCrashes:
    """The crashes that are remembered, by id."""

    def __init__(self) -> None:
        self._crash_by_id: OrderedDict[CrashId, KnownCrash] = OrderedDict()

    def __len__(self) -> int:
        return len(self._crash_by_id)

    def __contains__(self, crash_id: object) -> bool:
        return crash_id in self._crash_by_id

    def get(self, crash_id: CrashId) -> KnownCrash | None:
        """Return a crash, or None if it is not known."""
        return self._crash_by_id.get(crash_id)

    def items(self) -> ItemsView[CrashId, KnownCrash]:
        """Return all crashes with their ids, oldest first."""
        return self._crash_by_id.items()

    def values(self) -> ValuesView[KnownCrash]:
        """Return all crashes, oldest first."""
        return self._crash_by_id.values()

    def find_or_add(self, crash_id: CrashId, *, now_s: float) -> KnownCrash:
        """Return a crash, which is recorded now if it is not known.

        :param now_s: Boot-time clock, in seconds.
        """
        crash = self._crash_by_id.get(crash_id)
        if crash is None:
            crash = KnownCrash(
                recorded_at_s=now_s, expires_at_s=now_s + CRASH_LIFETIME_S
            )
            self._crash_by_id[crash_id] = crash
            if len(self._crash_by_id) > MAX_CRASHES:
                self._crash_by_id.popitem(last=False)
        return crash

    def remove_expired(self, *, now_s: float) -> bool:
        """Forget old crashes, and tell whether there were any.

        :param now_s: Boot-time clock, in seconds.
        """
        expired = [
            crash_id
            for crash_id, crash in self._crash_by_id.items()
            if now_s >= crash.expires_at_s
        ]
        for crash_id in expired:
            del self._crash_by_id[crash_id]
        return bool(expired)

    def count(self, suspect: SuspectId) -> SuspectedCrashes:
        """Count the crashes that a suspect may have caused."""
        count = SuspectedCrashes()
        for crash in self._crash_by_id.values():
            if suspect in crash.not_begun:
                count.not_begun += 1
            elif suspect in crash.begun:
                count.begun += 1
        return count

    def count_tried(self, suspect: SuspectId) -> int:
        """Count the crashes at which a request with a suspect was on trial."""
        return sum(
            crash.names(suspect) and suspect in crash.tried
            for crash in self._crash_by_id.values()
        )

    def last_at_s(self, suspect: SuspectId) -> float:
        """Return when the last crash was recorded that a suspect may have caused.

        :raises ValueError: If there is none.
        """
        return max(
            crash.recorded_at_s
            for crash in self._crash_by_id.values()
            if crash.names(suspect)
        )

    def cleared_of(self, suspect: SuspectId) -> tuple[CrashId, ...]:
        """Return the crashes that a suspect did not cause."""
        return tuple(
            crash_id
            for crash_id, crash in self._crash_by_id.items()
            if suspect in crash.cleared
        )

    def tell_completed(self, suspect: SuspectId) -> bool:
        """Whether a report tells that a request with a suspect has completed."""
        return any(
            suspect in crash.stored_clearances or suspect in crash.completed
            for crash in self._crash_by_id.values()
        )
