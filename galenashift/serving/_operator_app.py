"""ASGI application for operators."""

import hmac

from galenashift.config import (
    MAX_PLAN_BYTES,
    Configuration,
    DomainState,
    check_configuration,
    plan_from_data,
    plan_to_data,
    set_domain_state,
)
from galenashift.model import (
    Failure,
    FailureDomainName,
    JsonObject,
    Reason,
    RequestId,
    Verdict,
    not_run,
)
from galenashift.telemetry import EventLog

from ._http import (
    Disconnected,
    Receive,
    Scope,
    Send,
    bearer_token,
    decode_json_object,
    error_location,
    headers_by_name,
    internal_failure,
    malformed,
    read_body,
    send_bytes,
    send_failure,
    send_health,
    send_json,
    serve_scope,
    token_digest,
)
from ._interfaces import OperatorService

#: Time to receive the whole request body.
BODY_TIMEOUT_S = 30.0
_EXPLAIN_PATH = "/operator/explain/"
_METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
_MAX_REQUEST_ID_CHARACTERS = 64


class OperatorApp:
    """Serves ``/operator/...``, ``/metrics``, ``/healthz`` and ``/readyz``.

    All paths except the health checks require the operators' token.
    """

    def __init__(
        self, *, service: OperatorService, token_digest: str, events: EventLog
    ) -> None:
        self._service = service
        self._token_digest = token_digest
        self._events = events

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope."""
        await serve_scope(scope, receive, send, self._serve_http)

    async def _serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        path, method = scope["path"], scope["method"]
        answer: JsonObject | Failure | Disconnected
        try:
            if path in ("/healthz", "/readyz") and method in ("GET", "HEAD"):
                await send_health(send, path=path, ready=self._service.ready())
                return
            refusal = self._check_token(scope)
            if refusal is None and (method, path) == ("GET", "/metrics"):
                text = self._service.metrics_text().encode()
                await send_bytes(send, text, content_type=_METRICS_CONTENT_TYPE)
                return
            answer = refusal or await self._handle_request(scope, receive)
            if isinstance(answer, Failure):
                self._events.warning(
                    "operator-request-refused",
                    method=method,
                    path=path,
                    reason=answer.reason,
                    detail=answer.detail,
                )
                await send_failure(send, answer)
            elif not isinstance(answer, Disconnected):
                self._events.info("operator-request", method=method, path=path)
                await send_json(send, answer)
        except Exception as error:
            self._events.error(
                "internal-error", path=path, detail=error_location(error)
            )
            # A plan may have been put into force before the exception.
            await send_failure(send, internal_failure(Verdict.MAY_HAVE_RUN))

    def _check_token(self, scope: Scope) -> Failure | None:
        token = bearer_token(headers_by_name(scope))
        if isinstance(token, Failure):
            return token
        if not hmac.compare_digest(token_digest(token), self._token_digest):
            detail = "the token is not the operators' token"
            return not_run(reason=Reason.FORBIDDEN, detail=detail)
        return None

    async def _handle_request(
        self, scope: Scope, receive: Receive
    ) -> JsonObject | Failure | Disconnected:
        path: str = scope["path"]
        match scope["method"], path:
            case "GET", "/operator/status":
                return self._service.status()
            case "GET", _ if path.startswith(_EXPLAIN_PATH):
                request_id = path.removeprefix(_EXPLAIN_PATH)
                if not 0 < len(request_id) <= _MAX_REQUEST_ID_CHARACTERS:
                    return malformed("invalid request id")
                return await self._service.explain(RequestId(request_id))
            case "POST", "/operator/plan" | "/operator/confirm":
                body = await read_body(
                    scope=scope,
                    receive=receive,
                    limit_bytes=MAX_PLAN_BYTES,
                    timeout_s=BODY_TIMEOUT_S,
                )
                if not isinstance(body, bytes):
                    return body
                data = decode_json_object(body)
                if isinstance(data, Failure):
                    return data
                if path == "/operator/plan":
                    return self._plan(data)
                return await self._confirm(data)
            case _:
                detail = f"no such operation: {scope['method']} {path[:64]!a}"
                return not_run(reason=Reason.UNKNOWN_REQUEST, detail=detail)

    def _plan(self, data: JsonObject) -> JsonObject | Failure:
        document = self._requested_document(data)
        if isinstance(document, Failure):
            return document
        plan = self._service.plan(document)
        return plan if isinstance(plan, Failure) else plan_to_data(plan)

    def _requested_document(self, data: JsonObject) -> Configuration | Failure:
        if set(data) == {"document"}:
            return check_configuration(data["document"])
        if set(data) != {"failure_domain", "state"}:
            return malformed("send either 'document' or 'failure_domain' and 'state'")
        if data["state"] not in ("in", "out"):
            return malformed("'state' must be 'in' or 'out'")
        current = self._service.current()
        if current is None:
            detail = "no configuration is in force yet"
            return not_run(reason=Reason.ISOLATED, detail=detail)
        name = FailureDomainName(str(data["failure_domain"]))
        return set_domain_state(current.document, name, DomainState(data["state"]))

    async def _confirm(self, data: JsonObject) -> JsonObject | Failure:
        plan = plan_from_data(dict(data))
        if isinstance(plan, Failure):
            return plan
        version = await self._service.confirm(plan)
        if isinstance(version, Failure):
            return version
        self._events.info(
            "plan-confirmed", plan_id=plan.plan_id, version=version.version
        )
        return {
            "plan_id": version.plan_id,
            "version": version.version,
            "digest": version.digest,
        }
