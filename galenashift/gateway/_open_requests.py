"""Deadlines of the requests that are being answered."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from ._request import ActiveRequest


class OpenRequests:
    """The requests that are being answered, each with its deadline."""

    def __init__(self) -> None:
        self._scopes: list[tuple[ActiveRequest, trio.CancelScope]] = []

    @contextmanager
    def deadline(self, job: ActiveRequest, *, now_s: float) -> Iterator[None]:
        """Cancel the enclosed code at the deadline of a request, or when it is refused.

        :param now_s: Boot-time clock, in seconds.
        """
        with trio.move_on_after(max(0.0, job.deadline_s - now_s)) as scope:
            self._scopes.append((job, scope))
            try:
                yield
            finally:
                self._scopes.remove((job, scope))

    def refuse_unsent(self) -> None:
        """Refuse the requests that were not sent yet, before the process ends."""
        for job, scope in self._scopes:
            if not job.may_have_run:
                scope.cancel()
