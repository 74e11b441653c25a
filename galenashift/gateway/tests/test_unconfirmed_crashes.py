"""Registrations that prove a suspected crash."""

import pytest

from galenashift.gateway._unconfirmed_crashes import (
    CONFIRMATION_WINDOW_S,
    Suspicion,
    UnconfirmedCrashes,
)
from galenashift.gateway._view import PlatformView
from galenashift.gateway.tests.test_view import gone, upstream_item
from galenashift.model import CrashSuspects, UpstreamId

BROKEN_AT_S = 5.0
REMOVED = gone("servers/u1")
SAME = upstream_item("u1", born=1, seq=9)
RESTARTED = upstream_item("u1", born=2)
DRAINING = upstream_item("u1", born=1, state="draining")
SUCCESSOR = upstream_item("u2", service="other")
ELSEWHERE = upstream_item("u2", address="10.0.0.2:80")


def confirmed_after(*changes, elapsed_s=1.0):
    view = PlatformView(report=lambda name, fields: None)
    view.apply(upstream_item("u1", born=1), now_s=0.0)
    suspicion = Suspicion(
        attempt_id="a1",
        upstream=view.find(UpstreamId("u1")).registration,
        suspects=CrashSuspects(not_begun={"part:bad": 1}, begun={}),
        at_s=BROKEN_AT_S,
    )
    unconfirmed = UnconfirmedCrashes()
    unconfirmed.add(suspicion)
    confirmed = []
    for change in changes:
        now_s = BROKEN_AT_S + elapsed_s
        view.apply(change, now_s=now_s)
        confirmed += unconfirmed.take_confirmed(view, now_s=now_s)
    assert confirmed in ([], [suspicion])
    return bool(confirmed)


@pytest.mark.parametrize(
    ("changes", "confirmed"),
    [
        ((SAME,), False),
        ((RESTARTED,), True),
        ((REMOVED,), False),
        ((REMOVED, SUCCESSOR), True),
        ((REMOVED, ELSEWHERE), False),
        ((REMOVED, SAME), False),
        ((REMOVED, RESTARTED), True),
        ((DRAINING,), False),
        ((DRAINING, RESTARTED), False),
        ((DRAINING, REMOVED, SUCCESSOR), False),
    ],
)
def test_only_another_process_in_its_place_proves_a_crash(changes, confirmed):
    # A lapsed record or a planned restart would count as a crash, and quarantine sound
    # requests; a restart that does not count hides crashes.
    assert confirmed_after(*changes) is confirmed


def test_late_restart_is_no_proof():
    # The upstream may have run on after the connection broke, and crashed later.
    elapsed_s = CONFIRMATION_WINDOW_S + 1.0
    assert not confirmed_after(SAME, RESTARTED, elapsed_s=elapsed_s)
