"""Proofs that former order holders send no more orders.

A new holder asks them. One that is told of a later election gives its right up and says so; where
nothing listens at its address its process is gone. Others are waited for until their right has
ended by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.membership.messages import StopAnswer
from cactusshunt.membership.messages import StopQuestion
from cactusshunt.node_log import log_event
from cactusshunt.tasks.periodic import pause
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from cactusshunt.membership.peer_link import PeerLink

ASK_INTERVAL_S = 0.1  # datagrams may be lost
CHECK_INTERVAL_S = 0.5  # a process that is told to stop may take seconds
NO_TOKEN = 0

Address = tuple[str, int]


class StopProofs:
    """Asks the former holders of one election at a time.

    ``refuses`` returns whether an address refuses connections, which only one without a process
    does.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        address: Address,
        link: PeerLink,
        refuses: Callable[[Address], Awaitable[bool]],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._address = address
        self._link = link
        self._refuses = refuses
        self._token = NO_TOKEN
        self._addresses: Mapping[str, Address] = {}
        self._ends_at: dict[str, float] = {}  # of the right of those without a proof

    def begin(
        self, token: int, ends_at: Mapping[str, float], addresses: Mapping[str, Address]
    ) -> None:
        """Ask former holders; ``ends_at`` says until when each may send orders at the latest."""
        self._token = token
        self._ends_at = dict(ends_at)
        self._addresses = addresses
        if self._list_open():
            start_coroutine(self._ask_until_proved(token))
        for vm in self._list_open():
            if vm in addresses:
                start_coroutine(self._check_process(vm, token))

    def is_open(self) -> bool:
        """Return whether a former holder may still send orders."""
        return bool(self._list_open())

    def answer(self, question: StopQuestion) -> None:
        """Tell a new holder that this process sends no orders by an earlier election."""
        reply = StopAnswer(vm=self._vm, token=question.token)
        self._link.send_to(reply, (question.address, question.port))

    def record_answer(self, answer: StopAnswer) -> None:
        """Record that a former holder sends no more orders."""
        if answer.token == self._token:
            self._record_proof(answer.vm, "it said so")

    def _list_open(self) -> list[str]:
        now = self._reactor.seconds()
        return [vm for vm, ends_at in self._ends_at.items() if now < ends_at]

    async def _ask_until_proved(self, token: int) -> None:
        question = StopQuestion(
            vm=self._vm, token=token, address=self._address[0], port=self._address[1]
        )
        while token == self._token and self._list_open():
            for vm in self._list_open():
                if vm in self._addresses:
                    self._link.send_to(question, self._addresses[vm])
            await pause(self._reactor, ASK_INTERVAL_S)

    async def _check_process(self, vm: str, token: int) -> None:
        while token == self._token and vm in self._list_open():
            if await self._refuses(self._addresses[vm]) and token == self._token:
                self._record_proof(vm, "its process is gone")
            await pause(self._reactor, CHECK_INTERVAL_S)

    def _record_proof(self, vm: str, how: str) -> None:
        if self._ends_at.pop(vm, None) is not None:
            log_event("former_holder_stopped", holder=vm, token=self._token, how=how)
