"""Outcomes of exchanges with upstreams."""

from dataclasses import dataclass

from galenashift.model import AnswerFields
from galenashift.platform import promises_not_run

from ._connection import AnswerHead

_SERVER_ERROR = 500


@dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the request was sent."""

    detail: str
    #: Whether the upstream has stated that it accepts no request now.
    limited: bool = False


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The upstream reports that it did not execute the request."""

    status: int
    fields: AnswerFields
    #: Whether another upstream now uses the address (status 421).
    misdirected: bool


@dataclass(frozen=True, kw_only=True)
class Answered:
    """A complete answer that is not a stream."""

    head: AnswerHead
    fields: AnswerFields
    body: bytes

    @property
    def is_deliverable(self) -> bool:
        """Whether the caller may get the answer.

        Some statuses would tell it that the request was not executed, which the
        upstream has not stated.
        """
        return not promises_not_run(self.head.status)

    @property
    def is_failure(self) -> bool:
        """Whether another upstream may do better."""
        return self.head.status >= _SERVER_ERROR or not self.is_deliverable


@dataclass(frozen=True, kw_only=True)
class StreamEnded:
    """A stream whose events were forwarded to the caller as they arrived."""

    #: Whether the upstream marked the end of the stream.
    complete: bool
    #: Whether any data was forwarded to the caller.
    started: bool
    detail: str


@dataclass(frozen=True, kw_only=True)
class Broken:
    """The request was sent and no complete answer was received."""

    detail: str
    #: See `ConnectionFailed`.
    reset: bool


@dataclass(frozen=True, kw_only=True)
class Silent:
    """The request was sent and the answer timed out."""

    #: Whether a part of a stream was forwarded to the caller.
    started: bool = False


Outcome = NotSent | Refused | Answered | StreamEnded | Broken | Silent
