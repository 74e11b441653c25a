"""When a request is sent in spite of a quarantine, and how refusals end."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from galenashift.model import CrashSuspects
from galenashift.retries import CrashEvidence, TrialEnd
from galenashift.retries._quarantine_trials import TrialHistory, trial_delay_s
from galenashift.retries.tests.test_crash_evidence import (
    evidence_of,
    only_quarantine,
    quarantined,
    suspects,
)

COMPLETED = frozenset({"part"})


@pytest.mark.parametrize(
    ("crashes", "failed_trials", "has_completed", "delay_s"),
    [
        (3, 0, False, 60.0),
        (4, 0, False, 120.0),
        (5, 0, False, 240.0),
        (70, 0, False, 240.0),
        (6, 3, False, 480.0),
        (3, 0, True, 2.0),
        (70, 0, True, 2.0),
        (71, 1, True, 10.0),
        (72, 2, True, 240.0),
        (73, 3, True, 480.0),
    ],
)
def test_trials_become_rare(crashes, failed_trials, has_completed, delay_s):
    # A trial of a right quarantine crashes an upstream, and one of a wrong one ends it.
    history = TrialHistory(
        crashes=crashes, failed_trials=failed_trials, has_completed=has_completed
    )
    assert trial_delay_s(history) == delay_s


def begin(evidence, *, now_s, turn=0):
    quarantine = only_quarantine(evidence, now_s=now_s)
    return evidence.begin_trial([quarantine], turn=turn, now_s=now_s)


def test_suspect_that_completed_before_is_tried_soon():
    # Callers that send the same sound request were refused for a minute after it had
    # been in flight at some crashes (soak, seed 1008).
    evidence = evidence_of(*[suspects("request")] * 4)
    evidence.record_completion(["request"], began_at_s=9.0)
    assert begin(evidence, now_s=14.9) is None
    assert begin(evidence, now_s=15.0) is not None
    assert begin(evidence, now_s=15.1) is None


@pytest.mark.parametrize(
    ("how", "next_s"),
    [
        (TrialEnd.NOT_SENT, 21.0),
        (TrialEnd.NOT_EXECUTED, 23.0),
        (TrialEnd.MAY_HAVE_RUN, 31.0),
    ],
)
def test_trial_that_shows_nothing_is_repeated(how, next_s):
    # Guards against a route that is refused for good, as its one trial was spent while
    # all upstreams were down (review/12).
    evidence = evidence_of(*[suspects("common")] * 9)
    evidence.record_completion(["common"], began_at_s=9.0)
    trial = begin(evidence, now_s=20.0)
    assert begin(evidence, now_s=1_000.0) is None
    evidence.end_trial(trial, how, now_s=21.0)
    assert next_s == 21.0 or begin(evidence, now_s=next_s - 0.1) is None
    assert begin(evidence, now_s=next_s) is not None


def test_daemon_that_gets_no_such_request_leaves_the_trial_to_the_next():
    # Guards against a quarantine that lasts as the one daemon that may end it serves
    # other callers.
    evidence = evidence_of(*[suspects("part")] * 3)
    assert begin(evidence, now_s=72.0 + 9.9, turn=2) is None
    assert begin(evidence, now_s=72.0 + 10.0, turn=2) is not None


def test_daemon_that_starts_knows_completions_and_trials_by_the_reports():
    # Guards against a fleet that refuses for good what its last processes had served
    # before (review/12), and against one that tries again what they had tried.
    before = CrashEvidence()
    before.record_completion(["part"], began_at_s=1.0)
    reports = [before.with_completed(suspects("part")) for _ in range(6)]
    assert reports[0].completed == {"part"}
    started = evidence_of(*reports, at_s=100.0)
    assert begin(started, now_s=107.0, turn=0) is not None
    tried = CrashSuspects(not_begun={"part": 0}, begun={}, tried=COMPLETED)
    started = evidence_of(*reports, tried, tried, at_s=100.0)
    assert begin(started, now_s=107.0 + 239.0) is None
    assert begin(started, now_s=107.0 + 240.0) is not None


@pytest.mark.parametrize("has_completed", [False, True])
def test_part_that_crashes_upstreams_gets_few_trials(has_completed):
    # Guards against trials that go on: after the fifth crash, at most three requests
    # with the part may reach upstreams in the minutes that follow.
    evidence = evidence_of(*[suspects("part")] * 4)
    if has_completed:
        evidence.record_completion(["part"], began_at_s=9.0)
    crashes, after_fifth, now_s = 4, 0, 13.0
    fifth_s = None
    while fifth_s is None or now_s < fifth_s + 400.0:
        now_s += 0.5
        trial = begin(evidence, now_s=now_s)
        if trial is None:
            continue
        crashes += 1
        after_fifth += fifth_s is not None
        crash = CrashSuspects(not_begun={"part": 0}, begun={}, tried=trial.suspects)
        evidence.record_crash(f"t{crashes}", crash, now_s=now_s)
        evidence.end_trial(trial, TrialEnd.MAY_HAVE_RUN, now_s=now_s)
        fifth_s = now_s if crashes == 5 else fifth_s
    assert 1 <= after_fifth <= 3


STEP_S = 0.1
WORK_S = 0.3
UPSTREAMS = 6


class Fleet:
    """Daemons that serve one route, whose requests share a part, in virtual time."""

    def __init__(self, daemons):
        self.now_s = 0.0
        self.daemons = [CrashEvidence() for _ in range(daemons)]
        self.running = []
        self.stored = {}
        self.clearances = []
        self.down_until_s = 0.0
        self.served = []
        self.outages = 0

    def crash_all(self, for_s):
        """Crash all upstreams, each with the requests that it executes."""
        self.outages += 1
        self.down_until_s = self.now_s + for_s
        for number, (daemon, _, trial) in enumerate(self.running):
            evidence = self.daemons[daemon]
            tried = frozenset() if trial is None else trial.suspects
            report = CrashSuspects(not_begun={"part": 0}, begun={}, tried=tried)
            report = evidence.with_completed(report)
            crash_id = f"{self.outages}-{number % UPSTREAMS}"
            self.stored[f"{crash_id}/{daemon}"] = (crash_id, report)
            for each in self.daemons:
                each.record_crash(crash_id, report, now_s=self.now_s)
            if trial is not None:
                evidence.end_trial(trial, TrialEnd.MAY_HAVE_RUN, now_s=self.now_s)
        self.running.clear()

    def restart(self, daemon):
        """Start a daemon again, with what the store holds."""
        evidence = self.daemons[daemon] = CrashEvidence()
        self.running = [each for each in self.running if each[0] != daemon]
        for crash_id, report in self.stored.values():
            evidence.record_crash(crash_id, report, now_s=self.now_s)
        for clearance in self.clearances:
            evidence.record_clearance(clearance, now_s=self.now_s)

    def step(self, request):
        """Let one request come, and complete those that are due."""
        self.now_s += STEP_S
        for each in [each for each in self.running if each[1] <= self.now_s]:
            self.running.remove(each)
            self._complete(*each)
        daemon = request % len(self.daemons)
        evidence = self.daemons[daemon]
        evidence.decide(now_s=self.now_s)
        quarantines = evidence.find_quarantines(["part"])
        trial = None
        if quarantines:
            trial = evidence.begin_trial(quarantines, turn=daemon, now_s=self.now_s)
            if trial is None:
                return
        if self.now_s >= self.down_until_s:
            self.running.append((daemon, self.now_s + WORK_S, trial))
        elif trial is not None:
            evidence.end_trial(trial, TrialEnd.NOT_SENT, now_s=self.now_s)

    def _complete(self, daemon, ends_at_s, trial):
        self.served.append(self.now_s)
        evidence = self.daemons[daemon]
        cleared = evidence.record_completion(["part"], began_at_s=ends_at_s - WORK_S)
        self.clearances += cleared
        for clearance in cleared:
            for each in self.daemons:
                each.record_clearance(clearance, now_s=self.now_s)
        if trial is not None:
            evidence.end_trial(trial, TrialEnd.MAY_HAVE_RUN, now_s=self.now_s)


@given(
    daemons=st.integers(1, 8),
    down_s=st.floats(0.5, 8.0),
    restart_after_s=st.none() | st.floats(0.0, 15.0),
    restarted=st.sets(st.integers(0, 7)),
    reached=st.integers(1, 8),
    again_after_s=st.none() | st.floats(0.5, 8.0),
)
@example(
    daemons=4,
    down_s=4.5,
    restart_after_s=8.5,
    restarted=set(range(8)),
    reached=8,
    again_after_s=None,
)
@settings(deadline=None, max_examples=60)
def test_route_serves_again_after_all_its_upstreams_have_crashed(
    daemons, down_s, restart_after_s, restarted, reached, again_after_s
):
    # Guards against a route that is refused while its requests come (review/12), in a
    # fleet that runs on, and after a restart of some daemons or all.
    fleet = Fleet(daemons)
    for number in range(60):
        fleet.step(number)
    fleet.crash_all(down_s)
    last_fault_s = fleet.now_s + down_s
    restart_at_s = None if restart_after_s is None else fleet.now_s + restart_after_s
    again_at_s = None if again_after_s is None else last_fault_s + again_after_s
    while fleet.now_s < last_fault_s + 60.0:
        # Callers may reach some of the daemons only, and not the first in rank.
        fleet.step(daemons - 1 - int(fleet.now_s / STEP_S) % min(reached, daemons))
        if restart_at_s is not None and fleet.now_s >= restart_at_s:
            for daemon in restarted & set(range(daemons)):
                fleet.restart(daemon)
            last_fault_s, restart_at_s = max(last_fault_s, fleet.now_s), None
        if again_at_s is not None and fleet.now_s >= again_at_s:
            fleet.crash_all(1.0)
            last_fault_s, again_at_s = max(last_fault_s, fleet.now_s + 1.0), None
    assert all(not quarantined(each, now_s=fleet.now_s) for each in fleet.daemons)
    first_turn = 0 if reached >= daemons else daemons - reached
    bound_s = 12.0 + 5.0 * first_turn
    late = [each for each in fleet.served if each > last_fault_s + bound_s]
    assert len(late) > 0.9 * (60.0 - bound_s) / STEP_S
