"""Which suspects explain a set of crashes."""

import pytest

from galenashift.model import REQUEST_DEPTH, CrashSuspects
from galenashift.retries._crash_causes import find_causes

DEPTHS = {"system": 0, "user": 0, "bad": 1, "other": 1, "request": REQUEST_DEPTH}


def crash(text):
    """Return what was in flight; behind a bar, in requests with a whole event."""
    not_begun, _, begun = text.partition("|")
    return CrashSuspects(
        not_begun={suspect: DEPTHS[suspect] for suspect in not_begun.split()},
        begun={suspect: DEPTHS[suspect] for suspect in begun.split()},
    )


CASES = {
    # Requests that differ in all but one part never added up.
    "common part": (["bad", "bad user", "bad other"], "", "", {"bad"}),
    "too few": (["bad", "bad user"], "", "", set()),
    # The system prompt is in flight at each crash, as most requests contain it.
    "bystander in all crashes": (["system bad"] * 3, "", "", {"bad"}),
    "bystander in more crashes": (
        ["system bad"] * 3 + ["system", "system"],
        "system",
        "",
        {"bad"},
    ),
    # A part must not be refused for crashes that another one explains.
    "shared first part": (
        ["user bad", "user bad", "system bad", "user bad"],
        "",
        "",
        {"bad"},
    ),
    "two causes": (["bad"] * 3 + ["other"] * 3, "", "", {"bad", "other"}),
    # Only the same request was sent: other requests with its parts are served.
    "same request": (["system bad request"] * 3, "", "", {"request"}),
    # A request that many callers send alike is in flight at two crashes by chance.
    "same request twice": (["system bad request"] * 2, "", "", set()),
    # Its quarantine gives way to that of a part with more crashes.
    "same request, then another one": (
        ["system bad request"] * 3 + ["user bad"],
        "",
        "request",
        {"bad"},
    ),
    "same request and others": (
        ["system bad request"] * 3 + ["user bad"],
        "",
        "",
        {"bad"},
    ),
    "completed recently": (["system"] * 3, "system", "", set()),
    "completed recently, one more crash": (["system"] * 4, "system", "", {"system"}),
    # A quarantined part adds no crashes, and must not be served again because
    # another cause was in flight at some of its crashes.
    "quarantined, partly explained": (
        ["bad", "bad other", "bad other", "other", "other"],
        "",
        "bad",
        {"bad", "other"},
    ),
    # One more crash with a bystander is no reason to serve a crashing part again.
    "quarantined, and a bystander in one more crash": (
        ["system bad"] * 3 + ["system"],
        "",
        "bad",
        {"bad"},
    ),
    "quarantined, fully explained": (
        ["system bad"] * 3 + ["user bad", "other bad"],
        "",
        "system",
        {"bad"},
    ),
    # An upstream with some load always has a request without an event, so a part that
    # crashes upstreams after the first event was never refused (review/5).
    "crashes after the first event": (
        ["user | bad", "other | system bad", "| bad"],
        "",
        "",
        {"bad"},
    ),
    "begun at all crashes, not begun at all": (["bad | system"] * 3, "", "", {"bad"}),
    "begun or not": (["| bad", "bad", "user | bad"], "", "", {"bad"}),
    # Streams with common parts are in flight at most crashes by chance.
    "completed recently, begun": (["| system"] * 4, "system", "", set()),
    "completed recently, begun, one more": (["| bad"] * 5, "bad", "", {"bad"}),
    "none": ([], "", "bad", set()),
    "all cleared": (["", ""], "", "", set()),
}


@pytest.mark.parametrize(
    ("crashes", "proven", "quarantined", "causes"), CASES.values(), ids=CASES
)
def test_causes_are_the_fewest_suspects_that_explain_the_crashes(
    crashes, proven, quarantined, causes
):
    # Guards against the quarantine of bystanders, and of nothing at all.
    found = find_causes(
        [crash(each) for each in crashes],
        proven=set(proven.split()),
        quarantined=set(quarantined.split()),
    )
    assert found == causes
