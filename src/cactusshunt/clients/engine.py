"""Client of an engine's control API: its report, and orders to load and unload.

The paths for orders follow the model repository extension of the Open Inference Protocol,
``/v2/repository/models/<name>/load`` and ``/unload``; the fencing token is sent in
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
from cactusshunt.schema.decoding import UNREADABLE_ERRORS
from cactusshunt.schema.generated.messages import EngineReport

if TYPE_CHECKING:
    from cactusshunt.clients.http_client import HttpClient
    from cactusshunt.schema.generated.messages import Order

CLIENT_ERROR_STATUSES = range(400, 500)

OrderError = OrderNotSentError | OrderRefusedError | OrderOutcomeUnknownError


class EngineControl(Protocol):
    """Interface to an engine's control API; deadlines are in Unix seconds."""

    async def fetch_report(
        self, address: str, *, deadline: float
    ) -> Result[EngineReport, UpstreamError]:
        """Return the engine's report."""

    async def send_order(
        self, address: str, order: Order, *, deadline: float
    ) -> Result[None, OrderError]:
        """Send an order; success means that the engine has started it and may have finished it."""


class HttpEngineControl:
    """Implementation for engines that accept orders over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def fetch_report(
        self, address: str, *, deadline: float
    ) -> Result[EngineReport, UpstreamError]:
        """Return the engine's report."""
        result = await self._client.call("GET", f"http://{address}/v2/report", deadline=deadline)
        if result.is_error() or result.ok.status != 200:
            return Error(_report_error(address))
        try:
            return Ok(msgspec.json.decode(result.ok.body, type=EngineReport))
        except UNREADABLE_ERRORS:
            return Error(_report_error(address))

    async def send_order(
        self, address: str, order: Order, *, deadline: float
    ) -> Result[None, OrderError]:
        """Send an order over a new connection, since a pooled one may have stopped responding."""
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
        if result.ok.status in CLIENT_ERROR_STATUSES:
            return Error(
                OrderRefusedError(
                    reason=f"The engine refused the order with status {result.ok.status}.",
                    remedy="The planner decides again after the engine's next report.",
                )
            )
        if result.ok.status >= 500:
            return Error(_classify_failure(True, f"status {result.ok.status}"))
        return Ok(None)


def _classify_failure(maybe_sent: bool, reason: str) -> OrderError:
    if not maybe_sent:
        return OrderNotSentError(
            reason=f"The engine could not be reached ({reason}).",
            remedy="The planner decides again after the engine's next report.",
        )
    return OrderOutcomeUnknownError(
        reason=f"The engine did not acknowledge the order ({reason}).",
        remedy="The memory stays reserved until an engine report shows the outcome.",
    )


def _report_error(address: str) -> UpstreamError:
    return UpstreamSilentError(
        reason=f"The engine at {address} could not be reached or returned no valid report.",
        remedy="Check the engine's process and the network to it.",
    )
