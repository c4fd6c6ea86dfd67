"""Port to an engine's control path: its report and orders to load and unload.

Source of the paths for orders: the model repository extension of the Open Inference Protocol,
``/v2/repository/models/<name>/load`` and ``/unload``; the fencing token travels in
``parameters``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from urllib.parse import quote

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.exceptions import OrderNotSentError
from cactusshunt.exceptions import OrderOutcomeUnknownError
from cactusshunt.exceptions import OrderRefusedError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.exceptions import UpstreamSilentError
from cactusshunt.schema.generated.messages import EngineReport

if TYPE_CHECKING:
    from cactusshunt.clients.http_client import HttpClient
    from cactusshunt.schema.generated.messages import Order

CLIENT_ERRORS = range(400, 500)

OrderError = OrderNotSentError | OrderRefusedError | OrderOutcomeUnknownError


class EngineControl(Protocol):
    """What the system needs of an engine beside serving requests."""

    async def fetch_report(
        self, address: str, *, deadline: float
    ) -> Result[EngineReport, UpstreamError]:
        """Return the engine's report."""

    async def send_order(
        self, address: str, order: Order, *, deadline: float
    ) -> Result[None, OrderError]:
        """Send an order; success means that the engine has begun or finished it."""


class HttpEngineControl:
    """Adapter for engines that take orders over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def fetch_report(
        self, address: str, *, deadline: float
    ) -> Result[EngineReport, UpstreamError]:
        """Return the engine's report."""
        result = await self._client.call("GET", f"http://{address}/v2/report", deadline=deadline)
        if result.is_error() or result.ok.status != 200:
            return Error(_no_report(address))
        try:
            return Ok(msgspec.json.decode(result.ok.body, type=EngineReport))
        except msgspec.MsgspecError:
            return Error(_no_report(address))

    async def send_order(
        self, address: str, order: Order, *, deadline: float
    ) -> Result[None, OrderError]:
        """Send an order over a new connection, so that a silent one cannot hold it back."""
        name = quote(order.item, safe="")
        body = msgspec.json.encode(
            {
                "parameters": {
                    "order_id": order.order_id,
                    "fence": order.fence,
                    "memory_mib": order.memory_mib,
                }
            }
        )
        result = await self._client.call(
            "POST",
            f"http://{address}/v2/repository/models/{name}/{order.action}",
            deadline=deadline,
            body=body,
            new_connection=True,
        )
        if result.is_error():
            return Error(_classify_failure(result.error.sent, result.error.reason))
        if result.ok.status in CLIENT_ERRORS:
            return Error(
                OrderRefusedError(
                    reason=f"The engine refused the order with status {result.ok.status}.",
                    remedy="The planner decides anew from the engine's next report.",
                )
            )
        if result.ok.status >= 500:
            return Error(_classify_failure(True, f"status {result.ok.status}"))
        return Ok(None)


def _classify_failure(sent: bool, reason: str) -> OrderError:
    if not sent:
        return OrderNotSentError(
            reason=f"The engine was not reached ({reason}).",
            remedy="The planner decides anew from the engine's next report.",
        )
    return OrderOutcomeUnknownError(
        reason=f"The engine did not acknowledge the order ({reason}).",
        remedy="Its memory stays reserved until a report settles it.",
    )


def _no_report(address: str) -> UpstreamError:
    return UpstreamSilentError(
        reason=f"The engine at {address} gave no valid report.",
        remedy="Check the engine's process and the network to it.",
    )
