"""Deadlines of the requests that are being answered."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from ._caller import Responder
from ._request import ActiveRequest


@dataclass(frozen=True, kw_only=True, eq=False)
class _OpenRequest:
    job: ActiveRequest
    responder: Responder
    scope: trio.CancelScope

    def end(self) -> None:
        self.job.ended_by_shutdown = True
        self.scope.cancel()


class OpenRequests:
    """The requests that are being answered, each with its deadline."""

    def __init__(self) -> None:
        self._requests: list[_OpenRequest] = []

    @contextmanager
    def deadline(
        self, job: ActiveRequest, responder: Responder, *, now_s: float
    ) -> Iterator[None]:
        """Cancel the enclosed code at the deadline of a request, or in a shutdown.

        :param responder: Writes the answer to the request.
        :param now_s: Boot-time clock, in seconds.
        """
        with trio.move_on_after(max(0.0, job.deadline_s - now_s)) as scope:
            request = _OpenRequest(job=job, responder=responder, scope=scope)
            self._requests.append(request)
            try:
                yield
            finally:
                self._requests.remove(request)

    def refuse_unsent(self) -> None:
        """Refuse the requests that were not sent yet, before the process ends."""
        for request in self._requests:
            if not request.job.may_have_run:
                request.end()

    def fail_unanswered(self) -> None:
        """Fail the requests whose answers have not begun, as the process ends."""
        for request in self._requests:
            if request.responder.status is None:
                request.end()
