"""Reads which model an engine has loaded, and orders it to load another."""

import json
from random import Random

from galenashift.model import (
    ExchangeId,
    Failure,
    Reason,
    RequestId,
    StageCall,
    StageName,
    Upstream,
    UpstreamCalls,
    new_time_ordered_id,
    not_run,
    wall_time_s,
)

from ._poller import MAX_REPORT_BYTES
from ._transport import NETWORK_ERRORS, Transport

_READ_TIMEOUT_S = 1.0


class EngineControl:
    """Calls to engines for model placement, see `galenashift.recovery.PlacementLeader`.

    :param order_timeout_s: Timeout of an order, in seconds.
    """

    def __init__(
        self,
        *,
        calls: UpstreamCalls,
        transport: Transport,
        order_timeout_s: float,
        random: Random,
    ) -> None:
        self._calls = calls
        self._transport = transport
        self._order_timeout_s = order_timeout_s
        self._random = random

    async def read_model(self, upstream: Upstream) -> str | Failure | None:
        """Return the model that an engine has loaded, None if it has none."""
        try:
            data = await self._transport.get(
                upstream=upstream,
                path="/v1/load",
                timeout_s=_READ_TIMEOUT_S,
                limit_bytes=MAX_REPORT_BYTES,
            )
            match json.loads(data or b""):
                case {"model": str(model)}:
                    return model
                case {"model": None}:
                    return None
        except (*NETWORK_ERRORS, ValueError):
            pass
        return not_run(
            reason=Reason.UPSTREAM_FAILED,
            detail=f"upstream {upstream.upstream_id}: its load report names no model",
        )

    async def send_order(
        self, upstream: Upstream, fencing: int, model: str
    ) -> Failure | None:
        """Order an engine to load a model; return None if it accepts the order."""
        order_id = new_time_ordered_id(wall_time_s=wall_time_s(), random=self._random)
        answer = await self._calls.call(
            upstream=upstream,
            call=StageCall(
                exchange_id=ExchangeId(order_id),
                request_id=RequestId(order_id),
                stage=StageName("placement"),
                path="/v1/orders",
                body={"fencing": fencing, "kind": "load-model", "model": model},
            ),
            timeout_s=self._order_timeout_s,
        )
        return answer if isinstance(answer, Failure) else None
