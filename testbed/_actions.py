"""Sends requests as a caller that tolerates broken connections and repeats them."""

import time
from collections.abc import Mapping, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import httpcore

from galenashift.membership import rank_daemons
from galenashift.model import DaemonId, IdempotencyKey, OrganisationId
from galenashift.state import bucket_of, bucket_prefix

from ._deployment import DEFAULT_WAIT_S, DaemonHandle, Deployment, call_pipeline
from ._http import Reply
from ._small import API_KEYS_BY_ORGANISATION

_ORGANISATION = "north"
_RETRY_INTERVAL_S = 0.1
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


def send_once(
    *,
    daemon: DaemonHandle,
    pipeline: str,
    document: Mapping[str, Any],
    key: str | None = None,
) -> Reply | None:
    """Send a request, and repeat it while a limit refuses it (429).

    The daemon that owns the limits of an organisation grants nothing for its first
    two seconds. Requests may be refused for that time after daemons have started or
    ended.

    :returns: The answer, or None if the connection broke before it.
    """
    headers = {} if key is None else {"idempotency-key": key}
    deadline_s = time.monotonic() + DEFAULT_WAIT_S
    while True:
        try:
            reply = call_pipeline(
                daemon=daemon,
                pipeline=pipeline,
                api_key=API_KEYS_BY_ORGANISATION[_ORGANISATION],
                document=document,
                headers=headers,
            )
        except _CONNECTION_ERRORS as error:
            # Pytest shows this output when the test fails.
            print(f"{daemon.daemon_id} gave no answer: {error!r}")
            return None
        if reply.status != 429 or time.monotonic() > deadline_s:
            return reply
        time.sleep(_RETRY_INTERVAL_S)


def send_in_background(**arguments: Any) -> Future[Reply | None]:
    """Call `send_once` in another thread."""
    executor = ThreadPoolExecutor(max_workers=1)
    future = executor.submit(send_once, **arguments)
    executor.shutdown(wait=False)
    return future


def wait_admitted(*, deployment: Deployment, daemons: Sequence[DaemonHandle]) -> None:
    """Wait until each daemon admits and answers requests."""

    def is_admitted(daemon: DaemonHandle) -> bool:
        reply = send_once(daemon=daemon, pipeline="lookup", document={"warm": "up"})
        return reply is not None and reply.status == 200

    for daemon in daemons:
        deployment.wait_until(
            lambda daemon=daemon: is_admitted(daemon),  # type: ignore[misc]
            what=f"{daemon.daemon_id} answers a lookup",
        )


def owner_of_key(*, key: str, daemons: Sequence[DaemonHandle]) -> str:
    """Return the id of the daemon that owns the bucket of an idempotency key."""
    bucket = bucket_of(
        organisation=OrganisationId(_ORGANISATION), key=IdempotencyKey(key)
    )
    ids = [DaemonId(each.daemon_id) for each in daemons]
    return rank_daemons(key=bucket_prefix(bucket), daemons=ids, count=1)[0]
