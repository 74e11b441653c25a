"""A request that was sent to an upstream, and how that ended."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from galenashift.model import Handle

from ._outcomes import Outcome
from ._request import ActiveRequest
from ._router import Choice
from ._stream import StreamWriter
from ._unconfirmed_crashes import Suspicion


@dataclass(frozen=True, kw_only=True)
class SentRequest:
    """The outcome of one exchange, which has been recorded as evidence on health."""

    choice: Choice
    outcome: Outcome
    #: The crash that was suspected, if the connection ended before the answer did.
    suspicion: Suspicion | None


#: Sends a request, with the handles of its inputs, to one upstream.
SendRequest = Callable[
    [ActiveRequest, Choice, StreamWriter, tuple[Handle, ...]], Awaitable[SentRequest]
]
