"""Interfaces between the HTTP applications and the rest of the daemon."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol, runtime_checkable

from galenashift.config import Configuration, Plan, VersionedConfiguration
from galenashift.model import (
    Failure,
    JsonObject,
    PipelineAnswer,
    PipelineRequest,
    RequestId,
    Token,
)

#: Items of a streamed request: tokens in order of index, then one answer or failure.
PipelineItem = Token | PipelineAnswer | Failure


@runtime_checkable
class Buffered(Protocol):
    """An iterator that can be read without waiting while it holds items."""

    def has_next(self) -> bool:
        """Return whether an item can be read without waiting."""


class DirectBody(Protocol):
    """Writes parts of a response body directly to the connection.

    It bypasses the tasks of the HTTP server. ASGI scopes of HTTP/1.1 requests carry it
    as the extension `DIRECT_BODY`. It may be used only for bodies of unknown length,
    after status and headers are sent.
    """

    @property
    def pending(self) -> bool:
        """Whether part of a write is still buffered and needs `flush`."""

    def write(self, body: bytes, /) -> bool:
        """Write a part without waiting.

        :returns: Whether the part was accepted; otherwise it must be sent through ASGI.
        """

    async def flush(self) -> None:
        """Write the buffered rest; the connection may be closed meanwhile."""


#: Key of `DirectBody` in the extensions of an ASGI scope.
DIRECT_BODY = "galenashift.direct-body"


class Executor(Protocol):
    """Runs the stages of a request within its deadline."""

    async def execute(self, request: PipelineRequest, /) -> PipelineAnswer | Failure:
        """Run a request and return its complete answer.

        The caller application cancels the call when its caller disconnects; the
        executor shields work that must be completed.
        """

    def stream(
        self, request: PipelineRequest, /
    ) -> AbstractAsyncContextManager[AsyncIterator[PipelineItem]]:
        """Run a request and yield the tokens of its last stage as they arrive.

        :returns: Tokens with indexes from 0, and finally one `PipelineAnswer` or
            `Failure`. Leaving the context cancels the work that remains.
        """


class CallerService(Protocol):
    """Services of the daemon that the caller application uses."""

    def current(self) -> VersionedConfiguration | None:
        """Return the configuration in force, or None before the first one."""

    def isolated(self) -> Failure | None:
        """Return why the configuration may be outdated, or None if it is in force."""

    def ready(self) -> Failure | None:
        """Return why the daemon is not ready, or None if load balancers may use it."""


class OperatorService(CallerService, Protocol):
    """Services of the daemon that the operator application uses."""

    def plan(self, document: Configuration, /) -> Plan | Failure:
        """Compare a document with the configuration in force."""

    async def confirm(self, plan: Plan, /) -> VersionedConfiguration | Failure:
        """Put a plan into force for the whole fleet."""

    def status(self) -> JsonObject:
        """Describe the daemon, its fleet and its upstreams.

        :returns: A JSON object. The command line shows scalars as they are and
            each list of objects as a table.
        """

    async def explain(self, request_id: RequestId, /) -> JsonObject | Failure:
        """Return the recorded events of a request, as the list ``events``."""

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
