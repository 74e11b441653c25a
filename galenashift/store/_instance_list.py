"""Client of the platform's instance list over HTTP/JSON (docs/PROTOCOLS.md)."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from galenashift.model import (
    Failure,
    FailureDomainName,
    PoolName,
    Reason,
    Upstream,
    UpstreamId,
    boot_time_s,
    not_run,
)

from ._http import HttpAnswer, JsonHttpClient

#: Timeout of one poll, in seconds; equal to the poll interval, so that a lost poll is
#: detected before the next one is due.
POLL_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class InstanceListing:
    """Result of one successful poll."""

    #: Live and leaving upstreams.
    upstreams: tuple[Upstream, ...]
    #: Whether the list differs from that of the previous poll.
    changed: bool
    #: Boot-time clock just before the poll was sent, in seconds; the list was current
    #: then.
    as_of_s: float


class InstanceListClient:
    """Polls the list with conditional requests; an unchanged list is not sent again.

    :param url: Base URL of the service.
    :param timeout_s: Seconds for one poll.
    """

    def __init__(self, url: str, *, timeout_s: float = POLL_TIMEOUT_S) -> None:
        self._http = JsonHttpClient(url)
        self._timeout_s = timeout_s
        self._etag: str | None = None
        self._upstreams: tuple[Upstream, ...] = ()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def poll(self) -> InstanceListing | Failure:
        """Fetch the list once.

        :returns: A failure with reason ``NO_UPSTREAM`` if the list could not be
            fetched; the list of the last successful poll is then kept.
        """
        as_of_s = boot_time_s()
        headers = {} if self._etag is None else {"if-none-match": self._etag}
        answer = await self._http.call(
            method="GET",
            path="/v1/instances",
            headers=headers,
            timeout_s=self._timeout_s,
        )
        if not isinstance(answer, HttpAnswer):
            return _failure(answer.detail)
        if answer.status == 304 and self._etag is not None:
            return InstanceListing(
                upstreams=self._upstreams, changed=False, as_of_s=as_of_s
            )
        if answer.status != 200:
            return _failure(f"instance list returned status {answer.status}")
        try:
            upstreams = tuple(_upstream(each) for each in answer.body["instances"])
        except (KeyError, TypeError, ValueError) as error:
            return _failure(f"cannot decode the instance list: {error!r}")
        changed = upstreams != self._upstreams
        self._upstreams, self._etag = upstreams, answer.headers.get("etag")
        return InstanceListing(upstreams=upstreams, changed=changed, as_of_s=as_of_s)


def _failure(detail: str) -> Failure:
    return not_run(reason=Reason.NO_UPSTREAM, detail=detail)


def _upstream(instance: Mapping[str, Any]) -> Upstream:
    return Upstream(
        upstream_id=UpstreamId(instance["id"]),
        pool=PoolName(instance["pool"]),
        failure_domain=FailureDomainName(instance["failure_domain"]),
        host=str(instance["host"]),
        port=int(instance["port"]),
        leaving=instance["state"] == "leaving",
    )
