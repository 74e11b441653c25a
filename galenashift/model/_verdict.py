"""Verdicts: whether a request may have been executed."""

from collections.abc import Iterable
from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request by an upstream."""

    #: No upstream has executed the request or will execute it.
    NOT_RUN = "not-run"
    #: An upstream may have executed the request or may still execute it.
    MAY_HAVE_RUN = "may-have-run"
    #: An upstream has executed the request, and its answer is known.
    RAN = "ran"


_STRENGTH_BY_VERDICT = {
    Verdict.NOT_RUN: 0,
    Verdict.MAY_HAVE_RUN: 1,
    Verdict.RAN: 2,
}


def strongest_verdict(verdicts: Iterable[Verdict]) -> Verdict:
    """Combine the verdicts of several attempts or stages.

    :param verdicts: Verdicts in any order.
    :returns: The verdict closest to ``RAN``; ``NOT_RUN`` if there are none.
    """
    return max(verdicts, key=_STRENGTH_BY_VERDICT.__getitem__, default=Verdict.NOT_RUN)
