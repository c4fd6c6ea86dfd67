"""Reads the configuration that another VM has in force, while the store turns this VM away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.exceptions import UpstreamRefusedError
from cactusshunt.http1.collected_answer import call
from cactusshunt.membership.peer_link import CUSTOMERS_MESSAGE_VERSION
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.membership.peer_link import PeerLink

ANSWER_TIMEOUT_S = 0.5  # until the answer begins; VMs are 1.4 ms apart. Then the next VM is asked
# Some 300 kB, for 1,400 routes, take 0.5 s over the slowest link of 5 Mbit/s, which others share.
TRANSFER_TIMEOUT_S = 3.0


class PeerConfiguration:
    """Asks registered VMs for the bytes of the configuration that they have in force."""

    def __init__(
        self, *, reactor: ReactorBase, vm: str, link: PeerLink, pool: ConnectionPool
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._link = link
        self._pool = pool

    async def read(self, peer_vm: str, own_version: int) -> bytes:
        """Return a peer's configuration; raises ``UpstreamError`` if the peer does not give it."""
        peer = self._link.peers.get(peer_vm)
        if peer is None or peer.record.message_version < CUSTOMERS_MESSAGE_VERSION:
            raise UpstreamNotReachedError(
                reason=f"{peer_vm} is not registered, or runs an earlier build.",
                remedy="Another VM that has the configuration is asked.",
            )
        now = self._reactor.seconds()
        answer = await call(
            reactor=self._reactor,
            pool=self._pool,
            address=(peer.record.address, peer.record.port),
            method=b"GET",
            target=names.CONFIGURATION_PATH,
            headers=[(names.DETOUR, names.encode_detour(self._vm, own_version))],
            deadline=now + TRANSFER_TIMEOUT_S,
            begins_by=now + ANSWER_TIMEOUT_S,
        )
        if answer.status != 200:
            raise UpstreamRefusedError(
                reason=f"{peer_vm} answered {answer.status}.",
                remedy="Another VM that has the configuration is asked.",
            )
        return answer.body
