"""Requests of callers as they are sent to upstreams."""

from galenashift.model import Handle, RegisteredUpstream
from galenashift.platform import encode_request

from ._exchange import OutgoingRequest
from ._request import ActiveRequest

#: Largest answer that is not a stream, in bytes. It is buffered until it is complete,
#: so the limit must be small compared to the memory of an instance.
MAX_ANSWER_BYTES = 8_000_000


def outgoing_request(
    job: ActiveRequest,
    upstream: RegisteredUpstream,
    *,
    inputs: tuple[Handle, ...],
    resume_after: str | None,
    now_s: float,
) -> OutgoingRequest:
    """Return a request as it is sent to an upstream.

    :param inputs: Results of stages that the upstream reads.
    :param resume_after: Id of the last event that the caller has received.
    :param now_s: Boot-time clock, in seconds.
    """
    headers = encode_request(
        headers=job.request.headers,
        body_bytes=len(job.request.body),
        wait_s=job.deadline_s - now_s,
        upstream_id=upstream.upstream_id,
        organisation_id=job.organisation_id,
        rank=job.rank,
        inputs=inputs,
        last_event_id=resume_after if job.route.resumable else None,
    )
    return OutgoingRequest(
        attempt_id=job.fields.attempt_id,
        method=job.request.method,
        target=job.request.target,
        headers=headers,
        body=job.request.body,
        repeatable=job.route.repeatable,
        max_answer_bytes=MAX_ANSWER_BYTES,
    )
