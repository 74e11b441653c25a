"""Times at which daemons sent requests, from their logs."""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import datetime
from pathlib import Path

#: The end of an exchange of a request; not one of which no byte was sent.
_ENDED_PATTERN = re.compile(
    r"time=(\S+) .*event=exchange-ended request_id=(?P<ids>\S+) upstream=(?P<to>\S+) "
    r"(?!outcome=\"not sent).*elapsed_s=(?P<elapsed>[\d.e+-]+) "
)
#: The end of a call of a stage; not one of which no byte was sent.
_CALLED_PATTERN = re.compile(
    r"time=(\S+) .*event=stage-called .*upstream=(?P<to>\S+) .*requests=(?P<ids>\S+) "
    r"(?!outcome=NotSent ).*elapsed_s=(?P<elapsed>[\d.e+-]+) "
)
#: Longest time from a send to the arrival that is counted from the send, in seconds. A
#: stand-in on a busy machine read a request 1.24 s late. A logged time may be earlier,
#: as it is that of the choice of the upstream.
_LATE_READ_S = 1.5
#: Time by which a logged send may seem to follow its arrival, in seconds: logged times
#: are rounded to 1 ms, and taken after the duration was measured.
_LOG_DELAY_S = 0.02


@dataclass(frozen=True, kw_only=True)
class Send:
    """A request that a daemon sent to an upstream."""

    #: Name of the daemon, which is that of its log file without the suffix.
    daemon: str
    at_s: float


def read_send_times(
    log_paths: Iterable[Path], *, clock_started_s: float
) -> dict[tuple[frozenset[str], str], list[Send]]:
    """Return the sends of each set of attempts to each upstream, in order of time.

    A request is a send of one attempt, and a call of a stage one of all attempts of
    which it has pieces.

    On a busy machine a stand-in reads a request long after it was sent, and guarantees
    are about what daemons send.

    :param clock_started_s: Wall clock at which the clock of the result was 0, in
        seconds.
    :returns: Sends by attempts and upstream. An exchange whose end was not logged, or
        of which no byte was sent, is left out.
    """
    sends: dict[tuple[frozenset[str], str], list[Send]] = {}
    for path in log_paths:
        text = path.read_text("utf-8", errors="replace")
        for pattern in (_ENDED_PATTERN, _CALLED_PATTERN):
            for found in pattern.finditer(text):
                ended_s = datetime.fromisoformat(found[1]).timestamp()
                at_s = ended_s - float(found["elapsed"]) - clock_started_s
                attempts = frozenset(found["ids"].strip('"').split(","))
                send = Send(daemon=path.stem, at_s=at_s)
                sends.setdefault((attempts, found["to"]), []).append(send)
    for each in sends.values():
        each.sort(key=lambda send: send.at_s)
    return sends


def match_sends(
    arrived_at_s: Sequence[float], sends: Sequence[Send]
) -> list[Send | None]:
    """Return the send of each arrival, at most one for each and in order of time.

    The last arrivals are matched first, each with the last send before it, so that a
    send that never arrived does not count as an earlier send of what did.

    :param arrived_at_s: Times of the arrivals of the same attempts at one upstream, in
        order.
    :param sends: Sends of these attempts to it, in order of time.
    :returns: None for each arrival without a send of its own. The times are at most
        1.5 s before the arrivals, and not after them.
    """
    left = [*sends]
    matched: list[Send | None] = []
    for arrival_s in reversed(arrived_at_s):
        while left and left[-1].at_s > arrival_s + _LOG_DELAY_S:
            left.pop()
        if not left:
            matched.append(None)
            continue
        send = left.pop()
        at_s = min(arrival_s, max(send.at_s, arrival_s - _LATE_READ_S))
        matched.append(replace(send, at_s=at_s))
    return matched[::-1]
