"""A request on its way: what it asks for, and what has become of it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from galenashift.model import (
    Failure,
    Fingerprint,
    Organisation,
    OrganisationId,
    Reason,
    RequestFields,
    RequestId,
    Route,
    RoutingConfig,
    ServiceName,
    UpstreamId,
    Verdict,
    not_run,
)
from galenashift.platform import HeaderError, decode_request, find_header

from ._caller import CallerRequest
from ._crashes import fingerprint
from ._exchange import Answered

#: Time before the route's timeout at which a final answer is written, in seconds.
_TIMEOUT_MARGIN_S = 0.03
#: Time after which a caller may come back to a daemon without a configuration, in
#: seconds.
_STARTING_RETRY_AFTER_S = 0.5

#: Draws a service by the weights of a route.
PickService = Callable[[Mapping[ServiceName, float]], ServiceName]


@dataclass(kw_only=True, eq=False)
class ActiveRequest:
    """A request on its way."""

    request: CallerRequest
    fields: RequestFields
    route: Route
    config: RoutingConfig
    organisation: Organisation | None
    service: ServiceName
    #: Boot-time clock after which no answer is useful, in seconds.
    deadline_s: float
    #: Boot-time clock by which the answer is on time, in seconds.
    due_s: float
    #: Upstreams that the request was sent to.
    tried: set[UpstreamId] = field(default_factory=set)
    #: Upstreams that could not be reached.
    unreachable: set[UpstreamId] = field(default_factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    #: Whether a request is on its way whose outcome is unknown yet.
    in_flight: bool = False
    #: Answer of an upstream that a repetition may improve on.
    spare_answer: Answered | None = None

    @property
    def request_id(self) -> RequestId:
        """Identifier in the log."""
        return RequestId(self.fields.attempt_id)

    @property
    def rank(self) -> int:
        """Rank of the organisation, or else of the route."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank

    @property
    def organisation_id(self) -> OrganisationId | None:
        """Owner of the caller's key, None on public routes."""
        organisation = self.organisation
        return None if organisation is None else organisation.organisation_id

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """What all attempts at this request have in common."""
        return fingerprint(
            organisation_id=self.organisation_id,
            host=find_header(self.request.headers, b"host") or "",
            target=self.request.target,
            body=self.request.body,
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may run it now."""
        return self.in_flight or self.verdict is not Verdict.NOT_RUN


def decode_fields(request: CallerRequest) -> RequestFields | Failure:
    """Decode the headers of a request."""
    try:
        return decode_request(request.headers)
    except HeaderError as error:
        return not_run(reason=Reason.MALFORMED, detail=str(error))


def open_request(
    request: CallerRequest,
    fields: RequestFields,
    *,
    config: RoutingConfig | None,
    pick_service: PickService,
) -> ActiveRequest | Failure:
    """Find the route and the organisation, or the reason to refuse.

    :param config: Configuration in force, if there is one.
    """
    if config is None:
        return not_run(
            reason=Reason.STORE_UNAVAILABLE,
            detail="this daemon has no configuration yet",
            retry_after_s=_STARTING_RETRY_AFTER_S,
        )
    host = find_header(request.headers, b"host") or ""
    route = config.find_route(host=host, path=request.target)
    if route is None:
        return not_run(
            reason=Reason.UNKNOWN_PIPELINE, detail="no route matches host and path"
        )
    organisation = None
    if not route.public and config.organisations_by_key is not None:
        organisation = config.organisations_by_key.get(fields.api_key or "")
        if organisation is None:
            return not_run(
                reason=Reason.UNAUTHENTICATED, detail="the API key is unknown"
            )
    wait_s = route.timeout_s - _TIMEOUT_MARGIN_S
    if fields.wait_s is not None:
        wait_s = min(wait_s, fields.wait_s)
    return ActiveRequest(
        request=request,
        fields=fields,
        route=route,
        config=config,
        organisation=organisation,
        service=pick_service(route.weight_by_service),
        deadline_s=request.arrived_at_s + wait_s,
        due_s=request.arrived_at_s + route.goal_s,
    )
