"""Measured rate of stage services: waits that callers can rely on."""

import pytest

from galenashift.gateway._work_rate import WorkRate

_BATCH = 10
_POSSIBLE_PER_S = 100.0


def rate_after(*, made_per_s, seconds, backlogged=True, quiet_s=0.0):
    rate = WorkRate(batch=_BATCH)
    steps = round(seconds * 10)
    for step in range(steps + 1):
        if step:
            rate.note_made(round(made_per_s / 10))
        rate.observe(
            backlogged=backlogged, possible_per_s=_POSSIBLE_PER_S, now_s=step / 10
        )
    if quiet_s:
        rate.observe(
            backlogged=False, possible_per_s=_POSSIBLE_PER_S, now_s=seconds + quiet_s
        )
    return rate.efficiency


@pytest.mark.parametrize(
    ("made_per_s", "least", "most"),
    [
        # Full calls at all times.
        (100, 0.99, 1.0),
        # Pattern: calls half empty, since the next stage frees memory late.
        (50, 0.5, 0.6),
        # Pattern: no call is answered. The wait stays finite.
        (0, 0.1, 0.2),
    ],
)
def test_efficiency_follows_the_pieces_made(made_per_s, least, most):
    # A wait that is stated too short admits requests that end late.
    assert least <= rate_after(made_per_s=made_per_s, seconds=5) <= most


def test_idle_upstreams_are_not_slow_ones():
    # Pattern: few requests. Calls that are not full would look like slow upstreams.
    assert rate_after(made_per_s=10, seconds=5, backlogged=False) == 1.0


def test_trouble_is_forgotten_after_its_end():
    # Pattern: a standstill of some seconds, then calm. New requests are not refused.
    assert rate_after(made_per_s=0, seconds=4, quiet_s=8.0) > 0.7
