"""A short seeded run of the soak, and each seed that ever failed."""

import pytest

from soak._run import run_seed

#: Seeds with the cause that they once showed.
SEEDS = [
    (1, "all kinds of faults; never failed"),
    (200, "a kept connection ended before a request was encoded, which was not caught"),
]


@pytest.mark.process
@pytest.mark.parametrize(("seed", "cause"), SEEDS)
def test_promises_hold_under_faults(seed, cause):
    # The daemons run as processes, and faults come from outside them.
    outcome = run_seed(seed, seconds=8.0, daemons=3, callers=8)
    assert outcome.violations == []
    assert outcome.faults
    assert outcome.counts["answered"] > 50
