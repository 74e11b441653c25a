"""Evidence on crashes over time and at several daemons."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenashift.model import Clearance, CrashSuspects
from galenashift.retries import CRASH_LIFETIME_S, CrashEvidence
from galenashift.retries._known_crash import MAX_CRASHES


def suspects(*not_begun, begun=()):
    return CrashSuspects(
        not_begun={each: depth for depth, each in enumerate(not_begun)},
        begun={each: depth for depth, each in enumerate(begun)},
    )


def evidence_of(*crashes, at_s=10.0):
    """Record crashes one second apart from the given time on."""
    evidence = CrashEvidence()
    for number, crash in enumerate(crashes):
        evidence.record_crash(f"c{number}", crash, now_s=at_s + number)
    return evidence


def quarantined(evidence, *, now_s=14.0):
    evidence.decide(now_s=now_s)
    return {each.suspect for each in evidence.quarantines}


def only_quarantine(evidence, *, now_s=14.0):
    evidence.decide(now_s=now_s)
    (quarantine,) = evidence.quarantines
    return quarantine


def test_reports_of_several_daemons_on_one_crash_count_once():
    # Each daemon with a request in flight reports the crash of an upstream.
    evidence = CrashEvidence()
    for now_s in (1.0, 1.1, 1.2):
        evidence.record_crash("c0", suspects("bad"), now_s=now_s)
    assert quarantined(evidence) == set()


def test_request_whose_answer_had_begun_comes_after_one_without_an_event():
    # Long streams are in flight at many crashes that they do not cause.
    crashes = [suspects("bad", begun=("long",))] * 3
    assert quarantined(evidence_of(*crashes)) == {"bad"}
    assert quarantined(evidence_of(*[suspects(begun=("long",))] * 3)) == {"long"}


def test_part_that_crashes_upstreams_after_the_first_event_is_quarantined():
    # Guards against a part that crashes upstreams without limit: a request there that
    # had no event, and was never sent again, hid it for good (review/5).
    evidence = CrashEvidence()
    for number in range(3):
        now_s = 10.0 + number
        crash = suspects("sound", f"request{number}", begun=("bad",))
        evidence.record_crash(f"c{number}", crash, now_s=now_s)
        evidence.record_completion(["sound"], began_at_s=now_s + 0.5)
    assert quarantined(evidence) == {"bad"}
    assert evidence.is_suspected(["bad"], had_begun=True, now_s=14.0)


def test_request_that_had_not_begun_is_repeated_if_only_streams_had_its_part():
    # Guards against requests that lose their second attempt after plain crashes, as a
    # common part is in streams at each of them.
    evidence = evidence_of(*[suspects(begun=("common",))] * 2)
    assert not evidence.is_suspected(["common"], had_begun=False, now_s=14.0)
    assert evidence.is_suspected(["common"], had_begun=True, now_s=14.0)


def test_reports_on_one_crash_may_differ_in_how_far_answers_had_come():
    # One daemon had a request with the part that had begun, another one had not.
    evidence = evidence_of(*[suspects(begun=("bad",))] * 3)
    evidence.record_crash("c1", suspects("bad", "other"), now_s=13.0)
    assert only_quarantine(evidence).crashes == 3


@pytest.mark.parametrize(
    ("began_at_s", "remaining"),
    [(9.0, {"part"}), (12.5, set())],
    ids=["before", "after"],
)
def test_completion_clears_only_crashes_before_its_answer_began(began_at_s, remaining):
    # A stream that had begun before the first crash proves nothing about its part.
    evidence = evidence_of(*[suspects("part")] * 3)
    assert quarantined(evidence) == {"part"}
    evidence.record_completion(["part"], began_at_s=began_at_s)
    assert quarantined(evidence) == remaining


def test_late_report_does_not_revive_a_cleared_suspect():
    # Reports that waited for the store, and each listing of it, name it again.
    evidence = evidence_of(*[suspects("part")] * 3)
    evidence.record_completion(["part"], began_at_s=13.0)
    for number in range(3):
        evidence.record_crash(f"c{number}", suspects("part"), now_s=15.0)
    assert quarantined(evidence) == set()


def test_only_a_suspect_of_several_crashes_is_reported_as_cleared():
    # Most requests share parts; a report for each completion would load the store.
    evidence = evidence_of(suspects("once"), suspects("twice"), suspects("twice"))
    reported = evidence.record_completion(["once", "twice", "never"], began_at_s=13.0)
    assert reported == (Clearance(suspect="twice", crash_ids=("c1", "c2")),)
    reported = evidence.record_completion(["twice"], began_at_s=14.0)
    assert reported == ()


def test_suspect_that_is_cleared_of_one_crash_after_the_other_is_reported():
    # A daemon that starts reads the reports on all crashes. A sound part that completed
    # between them, and was never reported as cleared, was quarantined there (review/3).
    evidence = CrashEvidence()
    reported = []
    for number in range(4):
        now_s = 10.0 + number
        evidence.record_crash(f"c{number}", suspects("bad", "sound"), now_s=now_s)
        reported.append(evidence.record_completion(["sound"], began_at_s=now_s + 0.5))
    assert reported == [
        (),
        (Clearance(suspect="sound", crash_ids=("c0", "c1")),),
        (),
        (Clearance(suspect="sound", crash_ids=("c0", "c1", "c2", "c3")),),
    ]


def test_clearance_that_another_daemon_has_stored_is_not_reported_again():
    # Each daemon of the fleet sees requests with the common parts complete.
    evidence = evidence_of(*[suspects("part")] * 2)
    stored = Clearance(suspect="part", crash_ids=("c0", "c1"))
    assert not evidence.is_stored(stored)
    evidence.record_clearance(stored, now_s=14.0)
    assert evidence.is_stored(stored)
    assert evidence.record_completion(["part"], began_at_s=15.0) == ()


@pytest.mark.parametrize("crash_ids", [("c0", "c1", "c2"), None])
def test_report_of_a_cleared_suspect_lifts_the_quarantine(crash_ids):
    # A sound part that is quarantined at one daemon would stay refused there.
    evidence = evidence_of(*[suspects("part")] * 3)
    assert quarantined(evidence) == {"part"}
    clearance = Clearance(suspect="part", crash_ids=crash_ids)
    evidence.record_clearance(clearance, now_s=14.0)
    assert evidence.decide(now_s=14.0).lifted == ("part",)


def test_clearance_holds_only_for_the_crashes_that_it_names():
    # A part that crashes upstreams again later would never be quarantined.
    evidence = evidence_of(*[suspects("part")] * 6)
    clearance = Clearance(suspect="part", crash_ids=("c0", "c1", "c2"))
    evidence.record_clearance(clearance, now_s=16.0)
    assert only_quarantine(evidence, now_s=16.0).crashes == 3


def test_crashes_are_forgotten_unless_their_requests_keep_coming():
    # A quarantine that lapses while such requests come costs further crashes.
    evidence = evidence_of(*[suspects("bad")] * 3)
    quarantine = only_quarantine(evidence)
    extended_s = 12.0 + CRASH_LIFETIME_S - 10.0
    assert len(evidence.extend(quarantine, now_s=extended_s)) == 3
    evidence.expire(now_s=extended_s + CRASH_LIFETIME_S - 1.0)
    assert quarantined(evidence) == {"bad"}
    evidence.expire(now_s=extended_s + CRASH_LIFETIME_S)
    assert evidence.decide(now_s=extended_s).lifted == ("bad",)
    assert not evidence.has_crashes


def test_reports_are_stored_again_after_they_were_deleted():
    # Leases can lapse in an outage of the store; a daemon that starts then would not
    # know the quarantine.
    evidence = evidence_of(*[suspects("bad")] * 3)
    quarantine = only_quarantine(evidence)
    for number in range(3):
        evidence.record_stored(f"c{number}", until_s=12.0 + CRASH_LIFETIME_S)
    assert evidence.extend(quarantine, now_s=13.0) == {}
    evidence.record_stored("c1", until_s=0.0)
    assert list(evidence.extend(quarantine, now_s=14.0)) == ["c1"]
    assert evidence.extend(quarantine, now_s=14.5) == {}


@pytest.mark.parametrize(("completed", "suspected"), [(False, True), (True, False)])
def test_request_is_suspected_from_two_crashes_unless_it_completed(
    completed, suspected
):
    # A request that could crash one more upstream is not repeated, and parts that most
    # requests contain must not keep them from a second attempt.
    evidence = evidence_of(*[suspects("part")] * 2)
    if completed:
        evidence.record_completion(["part"], began_at_s=9.0)
    found = evidence.is_suspected(["part"], had_begun=False, now_s=14.0)
    assert found is suspected


def test_known_crashes_are_bounded():
    evidence = evidence_of(*[suspects(f"part{n}") for n in range(2 * MAX_CRASHES)])
    assert len(evidence._crashes) == MAX_CRASHES


DAEMONS = 3
BYSTANDERS = ("system", "user", "other")
#: One step of the model: the daemon with the crashing request, what was in flight at
#: the same upstream at which daemons, whose reports are delivered only at the end, and
#: which daemon is started again after the step, if any.
STEP = st.tuples(
    st.integers(0, DAEMONS - 1),
    st.lists(
        st.tuples(st.integers(0, DAEMONS - 1), st.sampled_from(BYSTANDERS)), max_size=4
    ),
    st.sets(st.integers(0, DAEMONS - 1)),
    st.none() | st.integers(0, DAEMONS - 1),
    st.randoms(use_true_random=False),
)


@given(
    st.lists(STEP, min_size=5, max_size=9),
    st.sampled_from([("system", "bad"), ("bad", "system")]),
    st.booleans(),
    st.data(),
)
@settings(deadline=None)
def test_all_daemons_agree_on_the_cause_in_any_order_of_reports(
    steps, prompt, has_delays, data
):
    # Guards against evidence that adds up only if it arrives in order, against the
    # quarantine of sound parts, which complete after each crash at some daemon, and
    # against daemons that decide otherwise once they have started again.
    daemons = [CrashEvidence() for _ in range(DAEMONS)]
    stored = []
    late = []
    crashes = 0
    now_s = 0.0

    def deliver(daemon, record, at_s):
        if isinstance(record, Clearance):
            daemon.record_clearance(record, now_s=at_s)
        else:
            daemon.record_crash(*record, now_s=at_s)

    for number, (source, bystanders, delayed, restarted, random) in enumerate(steps):
        now_s += 1.0
        if "bad" not in quarantined(daemons[source], now_s=now_s):
            crashes += 1
            reports = {source: list(prompt)}
            for daemon, part in bystanders:
                reports.setdefault(daemon, []).append(part)
            for reporter, parts in reports.items():
                report = (f"c{number}", suspects(*parts))
                daemons[reporter].record_crash(*report, now_s=now_s)
                targets = [each for each in daemons if each is not daemons[reporter]]
                if has_delays and reporter in delayed:
                    late.append(report)
                    continue
                stored.append(report)
                for target in random.sample(targets, len(targets)):
                    target.record_crash(*report, now_s=now_s + 0.2)
        completing = data.draw(st.integers(0, DAEMONS - 1))
        cleared = daemons[completing].record_completion(
            BYSTANDERS, began_at_s=now_s + 0.5
        )
        stored += cleared
        for daemon in daemons:
            for clearance in cleared:
                daemon.record_clearance(clearance, now_s=now_s + 0.9)
        if restarted is not None and not late:
            daemons[restarted] = CrashEvidence()
            for record in random.sample(stored, len(stored)):
                deliver(daemons[restarted], record, now_s + 0.95)
            assert quarantined(daemons[restarted], now_s=now_s + 0.97) == (
                {"bad"} if crashes >= 3 else set()
            )
    for report in late:
        for daemon in daemons:
            daemon.record_crash(*report, now_s=now_s + 1.0)
    for daemon in daemons:
        daemon.record_completion(BYSTANDERS, began_at_s=now_s + 2.0)
        assert quarantined(daemon, now_s=now_s + 2.5) == (
            {"bad"} if crashes >= 3 else set()
        )
