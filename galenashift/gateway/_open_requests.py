"""Deadlines of the requests that are being answered."""

import math
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
        self._request_by_job: dict[ActiveRequest, _OpenRequest] = {}

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
            self._request_by_job[job] = request
            try:
                yield
            finally:
                del self._request_by_job[job]

    def lift_deadline(self, job: ActiveRequest) -> None:
        """Let a whole answer be written, however slowly its caller reads.

        The deadline bounds the work for an answer. Callers that read too slowly are
        disconnected by the limits on callers.
        """
        self._request_by_job[job].scope.deadline = math.inf

    def refuse_unsent(self) -> None:
        """Refuse the requests that were not sent yet, before the process ends."""
        for request in self._request_by_job.values():
            if not request.job.may_have_run:
                request.end()

    def fail_unanswered(self) -> None:
        """Fail the requests whose answers have not begun, as the process ends."""
        for request in self._request_by_job.values():
            if request.responder.status is None:
                request.end()
