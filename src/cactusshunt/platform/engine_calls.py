"""Control calls to engines: reading reports and sending orders."""

from __future__ import annotations

import enum
import secrets

from typing import TYPE_CHECKING

import msgspec

from cactusshunt.exceptions import AnswerMismatchError
from cactusshunt.exceptions import OrderNotSentError
from cactusshunt.exceptions import OrderOutcomeUnknownError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.collected_answer import MAX_ENGINE_BODY_BYTES
from cactusshunt.http1.collected_answer import call
from cactusshunt.platform import headers as names
from cactusshunt.platform.documents import decode_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.collected_answer import CollectedAnswer
    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.http1.memory_budget import MemoryBudget
    from cactusshunt.notices.upstream_notices import UpstreamNotices
    from cactusshunt.platform.documents import EngineReport


class OrderAnswer(enum.IntEnum):
    """HTTP status with which an engine answers an order."""

    STARTED = 202
    DONE = 200  # nothing to do, as when the model is already loaded
    CONFLICT = 409  # engine busy, or it has not accepted the expected number of orders
    OLD_TOKEN = 412  # the fencing token is older than one that the engine has seen
    WRONG_INSTANCE = 421  # the address belongs to another engine
    INVALID = 400


class _Order(msgspec.Struct, frozen=True, kw_only=True, rename="camel", omit_defaults=True):
    operation: str
    model: str
    owner: str
    fencing_token: int
    expected: int | None = None
    adapter: str = ""


class EngineCalls:
    """Reads reports from engines and sends orders to them.

    ``budget`` bounds the memory that their answers take together.
    """

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        pool: ConnectionPool,
        notices: UpstreamNotices,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._budget = budget
        self._reactor = reactor
        self._pool = pool
        self._notices = notices

    async def read_report(
        self, address: Address, upstream_name: str, *, deadline: float
    ) -> EngineReport | None:
        """Return an engine's report, or ``None`` if the engine sent no valid one."""
        try:
            answer = await self._call(address, upstream_name, b"/v1/report", b"", deadline)
        except UpstreamError:
            return None
        return decode_report(answer.body) if answer.status == 200 else None

    async def send_order(
        self,
        address: Address,
        upstream_name: str,
        *,
        load: bool,
        model: str,
        adapter: str,
        owner: str,
        token: int,
        expected: int,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> OrderAnswer:
        """Send an order that the engine refuses unless it has accepted ``expected`` orders so far.

        ``token`` is the fencing token; ``may_send`` is asked just before the send. Raises
        ``OrderNotSentError`` or ``OrderOutcomeUnknownError``.
        """
        order = _Order(
            operation="load" if load else "unload",
            model=model,
            adapter=adapter,
            owner=owner,
            fencing_token=token,
            expected=expected,
        )
        body = msgspec.json.encode(order)
        try:
            answer = await self._call(
                address, upstream_name, b"/v1/order", body, deadline, may_send=may_send
            )
        except UpstreamNotReachedError as error:
            raise OrderNotSentError(reason=error.reason, remedy="Plan the order again.") from error
        except UpstreamError as error:
            raise OrderOutcomeUnknownError(
                reason=error.reason, remedy="Read the engine's report."
            ) from error
        if answer.status not in set(OrderAnswer):
            if names.find_header(answer.headers, names.NOT_RUN) is not None:
                raise OrderNotSentError(
                    reason="The engine has no capacity for the order.",
                    remedy="Plan the order again.",
                )
            raise OrderOutcomeUnknownError(
                reason=f"Unexpected status {answer.status}.", remedy="Read the engine's report."
            )
        return OrderAnswer(answer.status)

    async def _call(
        self,
        address: Address,
        upstream_name: str,
        target: bytes,
        body: bytes,
        deadline: float,
        *,
        may_send: Callable[[], bool] = lambda: True,
    ) -> CollectedAnswer:
        """Make a call with an id of its own and return its answer; engines return the id.

        Raises ``AnswerMismatchError`` for another call's answer, such as a late second one, and
        ``UpstreamNotReachedError`` for an engine that wants no calls.
        """
        run = self._notices.find_run(upstream_name)
        if not self._notices.may_call(run):
            raise UpstreamNotReachedError(
                reason="The engine wants no calls.", remedy="Use another engine."
            )
        sent_at = self._reactor.seconds()
        call_id = secrets.token_hex(8).encode()
        headers = [(b"X-Expect-Instance", upstream_name.encode()), (b"X-Request-Id", call_id)]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        answer = await call(
            reactor=self._reactor,
            pool=self._pool,
            address=address,
            method=b"POST" if body else b"GET",
            target=target,
            headers=headers,
            body=body,
            deadline=deadline,
            may_send=lambda: may_send() and self._notices.may_call(run),
            max_body_bytes=MAX_ENGINE_BODY_BYTES,
            budget=self._budget,
        )
        answered_id = names.find_header(answer.headers, names.REQUEST_ID)
        if answered_id not in (None, call_id):
            raise AnswerMismatchError(
                reason="The answer belongs to another call.", remedy="The call may have run."
            )
        if run is not None and answered_id is not None:
            self._notices.record_answer(
                run, status=answer.status, headers=answer.headers, sent_at=sent_at
            )
        return answer
